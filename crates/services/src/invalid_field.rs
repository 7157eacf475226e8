use thiserror::Error;

/// Most characters of a path or a message in the outcome of a patch.
const MAX_TEXT_CHARS: usize = 256;

types::wire! {
    /// An invalid field, for which a configuration or a patch is rejected.
    #[derive(Eq, Error)]
    #[error("{path}: {message}")]
    pub struct InvalidField {
        /// Path in the configuration, with dots between keys:
        /// `services.recipe.kinds.scale.max_deadline_ms`.
        pub path: String,
        /// Reason why the field is invalid.
        pub message: String,
    }
}

impl InvalidField {
    pub(crate) fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { path: path.into(), message: message.into() }
    }

    /// Truncates the path and the message, which may quote any part of a patch.
    pub(crate) fn truncated(self) -> Self {
        Self { path: truncate(&self.path), message: truncate(&self.message) }
    }

    pub(crate) fn size_bytes(&self) -> usize {
        self.path.len() + self.message.len()
    }
}

fn truncate(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}
