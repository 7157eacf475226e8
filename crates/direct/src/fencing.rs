/// Fencing token of an agent at its upstream, which carries out no order with a token lower than the
/// highest that it has seen.
///
/// The token starts with the agent's incarnation, a time of day, so a later agent's is higher however
/// often the upstream has restarted and whatever its own clock says. Where the time of day was set
/// back between two agents, the token rises by a step that doubles with each refusal, so it passes
/// that of the earlier agent after a few calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencingToken {
    value: u64,
    step: u64,
}

impl FencingToken {
    /// Creates the token of an agent that started at `incarnation`, Unix milliseconds.
    pub fn new(incarnation: u64) -> Self {
        Self { value: incarnation.max(1), step: 1 }
    }

    /// Returns the token of the next call.
    pub fn value(self) -> u64 {
        self.value
    }

    /// Raises the token after the upstream has refused it as outdated.
    pub fn raise(&mut self) {
        self.value = self.value.saturating_add(self.step);
        self.step = self.step.saturating_mul(2);
    }
}
