use std::fmt;

types::plain! {
    /// One fault of a settings file.
    #[derive(Eq)]
    pub struct InvalidField {
        /// Path of the setting, such as `limits.body_bytes`.
        pub path: String,
        /// What is wrong with it.
        pub message: String,
    }

    /// The errors found so far.
    #[derive(Default)]
    pub struct InvalidFields {
        found: Vec<InvalidField>,
    }
}

impl InvalidFields {
    /// Records a fault unless a condition holds.
    pub fn require(&mut self, holds: bool, path: &str, message: &str) {
        if !holds {
            self.found.push(InvalidField { path: path.to_owned(), message: message.to_owned() });
        }
    }

    /// Returns the errors found, in order.
    pub fn into_vec(self) -> Vec<InvalidField> {
        self.found
    }
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}
