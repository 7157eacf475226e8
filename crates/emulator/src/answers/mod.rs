//! The functions of the two emulated services, `recipe` and `notebook`; a test can compute their
//! answers by hand.

mod answer_error;
mod notebook;
mod recipe;
mod state;

pub(crate) use answer_error::AnswerError;
pub(crate) use state::AnswerState;

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

/// A function that answers requests of one kind.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Function {
    Allergens,
    Scale,
    Label,
    Book,
    Npc,
    Recap,
    Index,
}

impl Function {
    /// Returns the function for a kind of request, if there is one.
    pub(crate) fn find(service: &str, kind: &str) -> Option<Self> {
        match (service, kind) {
            ("recipe", "allergens") => Some(Self::Allergens),
            ("recipe", "scale") => Some(Self::Scale),
            ("recipe", "label") => Some(Self::Label),
            ("recipe", "book") => Some(Self::Book),
            ("notebook", "npc") => Some(Self::Npc),
            ("notebook", "recap") => Some(Self::Recap),
            ("notebook", "index") => Some(Self::Index),
            _ => None,
        }
    }

    /// Computes the answer to one payload.
    ///
    /// # Errors
    ///
    /// [`AnswerError`] when the payload does not fit the kind or the answer cannot be
    /// written as JSON.
    pub(crate) fn answer(self, payload: Value, state: &AnswerState) -> Result<Value, AnswerError> {
        match self {
            Self::Allergens => apply(payload, recipe::allergens),
            Self::Scale => apply(payload, recipe::scale),
            Self::Label => apply(payload, recipe::label),
            Self::Book => apply(payload, |req| recipe::book(req, state)),
            Self::Npc => apply(payload, notebook::npc),
            Self::Recap => apply(payload, notebook::recap),
            Self::Index => apply(payload, |req| notebook::index(req, state)),
        }
    }
}

fn apply<Q: DeserializeOwned, A: Serialize>(
    payload: Value,
    function: impl FnOnce(Q) -> A,
) -> Result<Value, AnswerError> {
    let req = serde_json::from_value(payload).map_err(AnswerError::Payload)?;
    serde_json::to_value(function(req)).map_err(AnswerError::Answer)
}
