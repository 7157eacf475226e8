use std::sync::Arc;

use crate::{
    ConfigPatch, ConfigSnapshot, InvalidField, PatchId, PatchOutcome, SharedConfig, Version,
    document::{decode, encode, parse},
    recent_outcomes::RecentOutcomes,
    validate,
};

/// Longest text of a patch that can be accepted.
const MAX_PATCH_BYTES: usize = 128 * 1024;

/// Longest configuration as JSON text, so that a snapshot fits into one record of the log.
const MAX_CONFIG_BYTES: usize = 128 * 1024;

/// Most invalid fields in the outcome of a rejected patch.
const MAX_INVALID_FIELDS: usize = 32;

types::plain! {
    /// The configuration that results from a sequence of patches.
    ///
    /// It is a pure function of the patches, so processes that apply the same patches in
    /// the same order reach the same state and the same outcomes.  The version never
    /// decreases.
    #[derive(Default)]
    pub struct ConfigState {
        version: Version,
        config: Arc<SharedConfig>,
        recent: RecentOutcomes,
    }
}

impl ConfigState {
    /// Creates a state from a configuration received from a peer, without outcomes of
    /// patches.
    ///
    /// # Errors
    ///
    /// Returns the invalid fields if the configuration is not valid.
    pub fn from_peer(
        version: Version,
        config: Arc<SharedConfig>,
    ) -> Result<Self, Vec<InvalidField>> {
        validate(&config)?;
        Ok(Self { version, config, recent: RecentOutcomes::default() })
    }

    /// Creates a state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns the invalid fields if the configuration in the snapshot cannot be decoded or
    /// is not valid.
    pub fn restore(snapshot: ConfigSnapshot) -> Result<Self, Vec<InvalidField>> {
        let config = parse("config", &snapshot.config)
            .and_then(|document| decode(&document))
            .map_err(|error| vec![error])?;
        validate(&config)?;
        Ok(Self {
            version: snapshot.version,
            config: Arc::new(config),
            recent: snapshot.recent.into_iter().collect(),
        })
    }

    /// Returns the state in the form in which it is written to the log.
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            version: self.version,
            config: encode(&self.config).to_string(),
            recent: self.recent.decisions(),
        }
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<SharedConfig> {
        &self.config
    }

    /// Returns the outcome of the first submission of a patch; `None` if the patch is unknown
    /// or no longer remembered.
    pub fn patch_outcome(&self, patch_id: PatchId) -> Option<&PatchOutcome> {
        self.recent.get(patch_id)
    }

    /// Validates a patch and, if it is accepted, applies it as the next version.
    ///
    /// A patch is accepted when its base is the current version and the resulting
    /// configuration is valid as a whole.  A repeated patch changes nothing; its outcome
    /// contains the first one.
    pub fn apply(&mut self, patch: &ConfigPatch) -> PatchOutcome {
        if let Some(first) = self.recent.get(patch.patch_id) {
            return PatchOutcome::Duplicate(Box::new(first.clone()));
        }
        let outcome = self.decide(patch);
        self.recent.insert(patch.patch_id, outcome.clone());
        outcome
    }

    fn decide(&mut self, patch: &ConfigPatch) -> PatchOutcome {
        match self.next_config(patch) {
            Ok((version, config)) => {
                self.version = version;
                self.config = Arc::new(config);
                PatchOutcome::Accepted(version)
            }
            Err(errors) => {
                let errors =
                    errors.into_iter().take(MAX_INVALID_FIELDS).map(InvalidField::truncated);
                PatchOutcome::Rejected(errors.collect())
            }
        }
    }

    fn next_config(
        &self,
        patch: &ConfigPatch,
    ) -> Result<(Version, SharedConfig), Vec<InvalidField>> {
        let version = self.next_version(patch.base).map_err(|error| vec![error])?;
        let config = self.merge(&patch.patch).map_err(|error| vec![error])?;
        validate(&config)?;
        let bytes = encode(&config).to_string().len();
        if bytes > MAX_CONFIG_BYTES {
            let message =
                format!("the configuration would have more than {MAX_CONFIG_BYTES} bytes");
            return Err(vec![InvalidField::new(".", message)]);
        }
        Ok((version, config))
    }

    fn next_version(&self, base: Version) -> Result<Version, InvalidField> {
        let current = self.version;
        if base != current {
            return Err(InvalidField::new(
                "base",
                format!("is {base} while version {current} is in force"),
            ));
        }
        let next = current.0.checked_add(1).map(Version);
        next.ok_or_else(|| InvalidField::new("base", "is the last version"))
    }

    fn merge(&self, patch: &str) -> Result<SharedConfig, InvalidField> {
        if patch.len() > MAX_PATCH_BYTES {
            return Err(InvalidField::new(
                "patch",
                format!("is longer than {MAX_PATCH_BYTES} bytes"),
            ));
        }
        let patch = parse("patch", patch)?;
        let mut document = encode(&self.config);
        json_patch::merge(&mut document, &patch);
        decode(&document)
    }
}
