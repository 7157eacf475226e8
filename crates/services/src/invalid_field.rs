use thiserror::Error;

/// Characters of a path or a message that are kept with a verdict.
const MAX_TEXT_CHARS: usize = 256;

types::wire! {
    /// One reason why a configuration or a patch is rejected.
    #[derive(Eq, Error)]
    #[error("{path}: {message}")]
    pub struct InvalidField {
        /// Place in the configuration, with dots between keys:
        /// `services.recipe.kinds.scale.max_deadline_ms`.
        pub path: String,
        /// What is wrong there.
        pub message: String,
    }
}

impl InvalidField {
    pub(crate) fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { path: path.into(), message: message.into() }
    }

    /// Cuts long texts, which may repeat any part of a patch.
    pub(crate) fn shortened(self) -> Self {
        Self { path: shorten(&self.path), message: shorten(&self.message) }
    }

    pub(crate) fn size_bytes(&self) -> usize {
        self.path.len() + self.message.len()
    }
}

fn shorten(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}
