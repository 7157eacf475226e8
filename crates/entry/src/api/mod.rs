//! The caller API: HTTP with JSON bodies.

mod job_body;
mod problem;
mod routes;
mod submit_body;
mod team;

pub(crate) use crate::api::{
    problem::Problem,
    routes::{CallerRoute, CallerState, router},
};
