//! The caller API: HTTP with JSON bodies.

mod job_body;
mod problem;
mod request_body;
mod routes;
mod submit_body;
mod team;

pub(crate) use crate::api::{
    problem::Problem,
    request_body::read_body,
    routes::{CallerRoute, CallerState, router},
};
