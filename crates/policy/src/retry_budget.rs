use crate::RetryBudgetBuilder;

/// Value of one token.  Tokens are counted in millionths, so that the percentage earned by a
/// success and the floor earned in a microsecond are integers.
const TOKEN: u64 = 1_000_000;
const TOKEN_PERCENT: u64 = TOKEN / 100;

/// Token bucket that limits retries to a percentage of successes plus a small floor.  When
/// every task fails only the floor adds tokens, so retries fall to the floor once the saved
/// tokens are spent.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetBuilder,
    tokens: u64,
    refilled_us: u64,
}

impl RetryBudget {
    pub(crate) fn with_settings(settings: RetryBudgetBuilder, now_us: u64) -> Self {
        Self { settings, tokens: 0, refilled_us: now_us }
    }

    /// Adds the tokens that a successful task earns.
    pub fn on_success(&mut self) {
        self.add(u64::from(self.settings.percent) * TOKEN_PERCENT);
    }

    /// Spends a token for one retry and returns true, or returns false if there is none, in
    /// which case the task must not be retried.
    pub fn try_spend(&mut self, now_us: u64) -> bool {
        self.add_floor(now_us);
        match self.tokens.checked_sub(TOKEN) {
            Some(tokens) => self.tokens = tokens,
            None => return false,
        }
        true
    }

    /// Returns the number of retries for which there are tokens.
    pub fn retries_left(&self) -> u64 {
        self.tokens / TOKEN
    }

    /// Adds the tokens of the floor since the last call; the floor alone saves up at most one
    /// second's worth.
    fn add_floor(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_us);
        self.refilled_us = self.refilled_us.max(now_us);
        let per_second = u64::from(self.settings.floor_per_second);
        let capacity = (per_second * TOKEN).saturating_sub(self.tokens);
        self.add(elapsed_us.saturating_mul(per_second).min(capacity));
    }

    fn add(&mut self, tokens: u64) {
        let max_tokens = u64::from(self.settings.max_retries) * TOKEN;
        self.tokens = (self.tokens + tokens).min(max_tokens);
    }
}
