//! Entries and agents for direct jobs over real connections, beside stand-ins of the platform's
//! store and executors. Waiting is for conditions; time limits only end a test that hangs.

mod bad_input;
mod configuration;
mod losses;
mod stops;
mod support;
mod whole_path;
