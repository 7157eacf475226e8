use std::sync::Arc;

use axum::{Extension, body::Body};
use intake::{BodyError, BodyLimits, ChargedBody, ConnectionActivity, Intake, discard};

/// Reads the body of a request. After an error that closes the connection, the rest of it is discarded.
pub(crate) async fn read_body(
    intake: &Arc<Intake>,
    activity: Option<Extension<ConnectionActivity>>,
    mut body: Body,
    limits: BodyLimits,
) -> Result<ChargedBody, BodyError> {
    let result = intake::read_body(intake, &mut body, limits).await;
    match &result {
        Ok(_) => {
            if let Some(Extension(activity)) = activity {
                intake.serve(activity.connection);
            }
        }
        Err(e) if e.closes_connection() => {
            tokio::spawn(discard(body, limits));
        }
        Err(_) => {}
    }
    result
}
