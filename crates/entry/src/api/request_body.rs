use std::sync::Arc;

use axum::{Extension, body::Body};
use intake::{BodyError, BodyLimits, ChargedBody, ConnectionActivity, Intake};

/// Reads the body of a request, which is complete then.
pub(crate) async fn read_body(
    intake: &Arc<Intake>,
    activity: Option<Extension<ConnectionActivity>>,
    mut body: Body,
    limits: BodyLimits,
) -> Result<ChargedBody, BodyError> {
    let received = intake::read_body(intake, &mut body, limits).await?;
    if let Some(Extension(activity)) = activity {
        intake.serve(activity.connection);
    }
    Ok(received)
}
