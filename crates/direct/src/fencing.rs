/// Fencing token of an agent at its upstream, which carries out no order with a token lower than the
/// highest that it has seen.
///
/// The token starts with the agent's incarnation, a time of day, so a later agent's is higher however
/// often the upstream has restarted and whatever its own clock says. Where the time of day was set
/// back between two agents, the token rises by a step that doubles with each refusal, so it passes
/// that of the earlier agent after a few calls.
///
/// The upstream carries out orders with an equal token, too. The first token that it accepts may be
/// equal to that of an earlier agent, so the token rises once more after that, and only from the answer
/// to a call with the risen token on are earlier agents fenced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencingToken {
    value: u64,
    step: u64,
    /// Whether the upstream has accepted a lower token since it refused one.
    is_highest: bool,
}

impl FencingToken {
    /// Creates the token of an agent that started at `incarnation`, Unix milliseconds.
    pub fn new(incarnation: u64) -> Self {
        Self { value: incarnation.max(1), step: 1, is_highest: false }
    }

    /// Returns the token of the next call.
    pub fn value(self) -> u64 {
        self.value
    }

    /// Raises the token after the upstream has refused it as outdated.
    pub fn raise(&mut self) {
        self.is_highest = false;
        self.value = self.value.saturating_add(self.step);
        self.step = self.step.saturating_mul(2);
    }

    /// Raises the token when another incarnation of the upstream answers, which has seen no token. Once
    /// the upstream has accepted a call with the raised token, it refuses the orders that were sent before.
    pub fn on_replaced(&mut self) {
        self.value = self.value.saturating_add(1);
    }

    /// Records that the upstream has accepted a call with the token `value`. Returns whether this
    /// shows that the orders of earlier agents are refused from now on.
    pub fn on_accepted(&mut self, value: u64) -> bool {
        let is_present = value == self.value;
        if is_present && !self.is_highest {
            self.value = self.value.saturating_add(1);
            self.is_highest = true;
            return false;
        }
        is_present
    }
}
