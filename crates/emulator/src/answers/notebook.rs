//! The notebook service: non-player characters, session recaps and an index of handouts.

use crate::answers::AnswerState;

types::wire! {
    pub(crate) struct NpcRequest {
        name: String,
    }

    pub(crate) struct NpcAnswer {
        name: String,
        role: String,
        home: String,
    }

    pub(crate) struct RecapRequest {
        session: String,
        notes: Vec<String>,
    }

    pub(crate) struct RecapAnswer {
        session: String,
        recap: String,
    }

    pub(crate) struct IndexRequest {
        handout: String,
        #[serde(default)]
        text: String,
    }

    pub(crate) struct IndexAnswer {
        handout: String,
        words: usize,
        entry: u64,
    }
}

const ROLES: [&str; 5] = ["innkeeper", "smith", "ferryman", "abbot", "smuggler"];
const HOMES: [&str; 4] = ["Gent", "Antwerpen", "Leuven", "Brugge"];

/// Returns a non-player character whose role and home depend on the name alone.
pub(crate) fn npc(req: NpcRequest) -> NpcAnswer {
    let sum = req.name.bytes().fold(0, |sum, b| sum + usize::from(b));
    NpcAnswer {
        role: ROLES[sum % ROLES.len()].to_owned(),
        home: HOMES[sum % HOMES.len()].to_owned(),
        name: req.name,
    }
}

/// Joins the notes of a session into one text.
pub(crate) fn recap(req: RecapRequest) -> RecapAnswer {
    RecapAnswer { session: req.session, recap: req.notes.join(" ") }
}

/// Indexes a handout; not idempotent, since every call adds an entry.
pub(crate) fn index(req: IndexRequest, state: &AnswerState) -> IndexAnswer {
    IndexAnswer {
        words: req.text.split_whitespace().count(),
        handout: req.handout,
        entry: state.next_entry(),
    }
}
