use axum::http::{HeaderMap, header};
use settings::bearer_digest;
use types::TeamName;

use crate::{api::Problem, settings::CallerSettings};

/// Returns the team that the bearer token of a request identifies.  All known tokens are compared,
/// each in constant time, so that the duration does not reveal which one matched.
pub(crate) fn authenticate(
    headers: &HeaderMap,
    callers: &[CallerSettings],
) -> Result<TeamName, Problem> {
    let presented = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(bearer_digest)
        .ok_or_else(Problem::unauthorized)?;
    let matching: Vec<_> =
        callers.iter().filter(|caller| caller.token.matches(&presented)).collect();
    matching.first().map(|caller| caller.team.clone()).ok_or_else(Problem::unauthorized)
}
