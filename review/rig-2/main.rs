//! Plays one case: `rig CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` the case is played without its disruption.

mod cases;
mod executor;
mod forwarder;
mod http;
mod record;
mod store;
mod system;

use std::{env, path::Path, process::ExitCode, sync::Arc};

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let [case, path] = args.as_slice() else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    match cases::play(case, &record, has_trouble) {
        Ok(broken) if broken.is_empty() => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in &broken {
                record.line(&format!("BROKEN: {line}"));
            }
            ExitCode::from(1)
        }
        Err(e) => {
            record.line(&format!("the case could not run: {e}"));
            ExitCode::from(2)
        }
    }
}
