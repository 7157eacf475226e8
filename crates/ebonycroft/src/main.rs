//! The `ebonycroft` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    ebonycroft::main()
}
