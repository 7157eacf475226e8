use settings::SettingsError;
use thiserror::Error;
use types::StepError;

/// The reason why a load run could not be carried out.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The plan is invalid.
    #[error(transparent)]
    Plan(#[from] SettingsError),
    /// A step of the run failed.
    #[error(transparent)]
    Step(#[from] StepError),
}
