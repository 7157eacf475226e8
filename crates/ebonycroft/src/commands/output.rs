//! Standard output of operators' commands.

use std::io::{self, ErrorKind, Write};

use types::{Peer, StepError};

/// Writes a line to the standard output. A closed pipe, as after `| head`, is not an error.
pub(crate) fn write_line(text: &str) -> Result<(), StepError> {
    match writeln!(io::stdout(), "{text}") {
        Err(e) if e.kind() != ErrorKind::BrokenPipe => {
            Err(StepError::new("writing the output", Peer::Local, e))
        }
        _ => Ok(()),
    }
}
