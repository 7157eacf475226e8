//! Tests of entries and agents for direct jobs over real connections, with fakes of the platform's
//! store and executors. The tests wait for conditions; timeouts only end a test that hangs.

mod configuration;
mod crashes;
mod direct_jobs;
mod failures;
mod invalid_requests;
mod shutdown;
mod support;
