use axum::{
    Json,
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use intake::BodyError;
use types::Refusal;

/// Time after which a request that exceeded the byte budget may be repeated, milliseconds.
const BUDGET_RETRY_MS: u64 = 1_000;

types::wire! {
    /// A problem document (RFC 9457) with the extension members `not_run` and
    /// `retry_after_ms`.
    pub(crate) struct Problem {
        /// Relative URI of the problem type.
        pub(crate) r#type: String,
        /// Title of the problem type.
        pub(crate) title: String,
        /// HTTP status.
        pub(crate) status: u16,
        /// Description of this occurrence.
        pub(crate) detail: String,
        /// Whether it is certain that no task of the request was run.
        pub(crate) not_run: bool,
        /// Milliseconds after which a retry may succeed.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub(crate) retry_after_ms: Option<u64>,
        /// Whether the connection is closed after the response.
        #[serde(skip)]
        pub(crate) closes_connection: bool,
    }
}

impl Problem {
    pub(crate) fn new(status: StatusCode, slug: &str, detail: impl Into<String>) -> Self {
        Self {
            r#type: format!("/problems/{slug}"),
            title: slug.replace('-', " "),
            status: status.as_u16(),
            detail: detail.into(),
            not_run: true,
            retry_after_ms: None,
            closes_connection: false,
        }
    }

    /// Returns the problem for a request without a token of a team or an operator.
    pub(crate) fn unauthorized() -> Self {
        Self::new(StatusCode::UNAUTHORIZED, "unauthorized", "no valid bearer token")
    }
}

impl From<BodyError> for Problem {
    fn from(e: BodyError) -> Self {
        let slug = match e {
            BodyError::TooLarge(_) | BodyError::Unreadable(_) => "invalid-body",
            BodyError::TimedOut => "body-timeout",
            BodyError::BudgetExhausted => "overloaded",
        };
        let status = StatusCode::from_u16(e.status()).unwrap_or(StatusCode::BAD_REQUEST);
        Self {
            retry_after_ms: matches!(e, BodyError::BudgetExhausted).then_some(BUDGET_RETRY_MS),
            closes_connection: e.closes_connection(),
            ..Self::new(status, slug, e.to_string())
        }
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        Self {
            not_run: refusal.not_run(),
            retry_after_ms: refusal.retry_after_ms(),
            ..Self::new(http_status(&refusal), refusal.label(), refusal.to_string())
        }
    }
}

fn http_status(refusal: &Refusal) -> StatusCode {
    match refusal {
        Refusal::UnknownService(_) | Refusal::UnknownKind(_) | Refusal::UnknownJob => {
            StatusCode::NOT_FOUND
        }
        Refusal::Invalid(_) | Refusal::FutureId => StatusCode::BAD_REQUEST,
        Refusal::Conflict | Refusal::OutcomeUnknown => StatusCode::CONFLICT,
        Refusal::Expired { .. } | Refusal::AnswerGone => StatusCode::GONE,
        Refusal::QuotaExceeded { .. } => StatusCode::TOO_MANY_REQUESTS,
        Refusal::NeverFits(_) => StatusCode::UNPROCESSABLE_ENTITY,
        Refusal::Overloaded { .. }
        | Refusal::LogUnavailable { .. }
        | Refusal::Draining
        | Refusal::OwnerChanging { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::OwnerUnreachable { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        const MS_PER_S: u64 = 1_000;
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let closes_connection = self.closes_connection;
        let retry_after_s = self.retry_after_ms.map(|ms| ms.div_ceil(MS_PER_S).max(1));
        let mut resp = (status, Json(self)).into_response();
        let headers = resp.headers_mut();
        let problem_json = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, problem_json);
        if let Some(seconds) = retry_after_s {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if closes_connection {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if status == StatusCode::UNAUTHORIZED {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        resp
    }
}
