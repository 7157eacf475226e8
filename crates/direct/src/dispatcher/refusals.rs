//! Waits before a task is sent again to an agent that has refused it.
//!
//! Load pattern: an agent refuses a task for another reason than its capacity, or its last report
//! shows capacity that is in use since. Without a wait the task went back to the same agent with
//! each refusal: 14,000 times in half a second.

use crate::dispatcher::{AgentKey, agent_view::AgentView};

/// Wait after the first refusal, milliseconds; each further one doubles it.
const FIRST_WAIT_MS: u64 = 2;
/// Maximum wait, milliseconds.
const MAX_WAIT_MS: u64 = 64;
/// Part of the wait, as a divisor, that also passes if a report shows free capacity: an agent may
/// report often and refuse the task each time for another reason.
const MIN_WAIT_DIVISOR: u64 = 8;
/// Part of the time that a task has to spare, as a divisor, that one wait may take.
const SPARE_TIME_DIVISOR: u64 = 4;

types::plain! {
    /// How long a task waits after a refusal before it is sent to the same agent again.
    #[derive(Copy, Eq)]
    pub(crate) enum RefusalWait {
        /// Until the wait has passed, or a part of it if a report shows free capacity.
        Whole,
        /// Until the next millisecond: the job is refused if its tasks are not sent now.
        LastTry,
        /// Not at all, to find out whether any agent has room.
        Skipped,
    }

    /// Refusals of one task by one agent.
    #[derive(Copy)]
    pub(crate) struct Refusals {
        agent: AgentKey,
        count: u32,
        last_ms: u64,
        wait_ms: u64,
    }
}

impl Refusals {
    /// Records a refusal in the list of a task. `spare_ms` is the time for which the task's start
    /// may still be delayed.
    pub(crate) fn record(list: &mut Vec<Self>, agent: AgentKey, spare_ms: u64, now_ms: u64) {
        let known = list.iter().position(|refusals| refusals.agent == agent);
        let index = known.unwrap_or_else(|| {
            list.push(Self { agent, count: 0, last_ms: now_ms, wait_ms: 0 });
            list.len() - 1
        });
        let refusals = &mut list[index];
        let longest_ms = MAX_WAIT_MS.min(spare_ms / SPARE_TIME_DIVISOR).max(1);
        refusals.wait_ms = (FIRST_WAIT_MS << refusals.count.min(8)).min(longest_ms);
        refusals.count = refusals.count.saturating_add(1);
        refusals.last_ms = now_ms;
    }

    /// Returns whether the task must still wait before it is sent to this agent.
    pub(crate) fn delays(
        list: &[Self],
        agent: AgentKey,
        view: &AgentView,
        wait: RefusalWait,
        now_ms: u64,
    ) -> bool {
        let Some(refusals) = list.iter().find(|refusals| refusals.agent == agent) else {
            return false;
        };
        let waited_ms = now_ms.saturating_sub(refusals.last_ms);
        let min_wait_ms = (refusals.wait_ms / MIN_WAIT_DIVISOR).max(1);
        // That the reported capacity suffices is checked for every agent.
        let has_reported = view.reported_ms > refusals.last_ms;
        let needed_ms = match wait {
            RefusalWait::Whole if has_reported => min_wait_ms,
            RefusalWait::Whole => refusals.wait_ms,
            RefusalWait::LastTry => 1,
            RefusalWait::Skipped => 0,
        };
        waited_ms < needed_ms
    }
}
