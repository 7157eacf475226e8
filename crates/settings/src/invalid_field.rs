use std::fmt;

types::plain! {
    /// An invalid field of a settings file.
    #[derive(Eq)]
    pub struct InvalidField {
        /// Path of the field, such as `limits.body_bytes`.
        pub path: String,
        /// Reason why the field is invalid.
        pub message: String,
    }

    /// Collects the invalid fields of a settings file.
    #[derive(Default)]
    pub struct InvalidFields {
        fields: Vec<InvalidField>,
    }
}

impl InvalidFields {
    /// Adds the field at `path` as invalid because of `message`, unless `holds` is true.
    pub fn require(&mut self, holds: bool, path: &str, message: &str) {
        if !holds {
            self.fields.push(InvalidField { path: path.to_owned(), message: message.to_owned() });
        }
    }

    /// Returns the invalid fields in the order in which they were added.
    pub fn into_vec(self) -> Vec<InvalidField> {
        self.fields
    }
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}
