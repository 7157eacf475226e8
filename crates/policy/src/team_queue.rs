use types::Urgency;

use crate::{
    ClassFloors, Ticket,
    class_queue::{ClassQueue, QueueEntry},
};

/// The next task of a team.
pub(crate) struct Candidate {
    pub(crate) ticket: Ticket,
    pub(crate) by_floor: bool,
}

/// Queued tasks of one team by urgency class, with the weight of the team.
#[derive(Debug)]
pub(crate) struct TeamQueue<T> {
    index: usize,
    pub(crate) weight: u32,
    classes: [ClassQueue<T>; Urgency::ALL.len()],
}

impl<T> TeamQueue<T> {
    pub(crate) fn new(index: usize) -> Self {
        Self { index, weight: 1, classes: std::array::from_fn(|_| ClassQueue::default()) }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.classes.iter().all(ClassQueue::is_empty)
    }

    pub(crate) fn push(&mut self, ticket: Ticket, entry: QueueEntry<T>) {
        self.class_mut(ticket.urgency).push(ticket, entry);
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<QueueEntry<T>> {
        self.class_mut(ticket.urgency).remove(ticket)
    }

    pub(crate) fn backlog_by_class_us(&self) -> [u64; Urgency::ALL.len()] {
        std::array::from_fn(|class| self.classes[class].backlog_us())
    }

    /// Returns the next task: that of the most urgent class whose credit covers its first
    /// task, otherwise that of the most urgent class.
    pub(crate) fn candidate(&self) -> Option<Candidate> {
        let most_urgent = self.first_class(|class| !class.is_empty())?;
        let urgency = self.first_class(ClassQueue::has_credit_for_head).unwrap_or(most_urgent);
        let (sequence, _) = self.class(urgency).head()?;
        let ticket = Ticket { sequence, team: self.index, urgency };
        Some(Candidate { ticket, by_floor: urgency != most_urgent })
    }

    pub(crate) fn head(&self, urgency: Urgency) -> Option<&QueueEntry<T>> {
        self.class(urgency).head().map(|(_, entry)| entry)
    }

    /// Charges the classes for a task that is about to be removed.
    pub(crate) fn charge(&mut self, candidate: &Candidate, cost_us: u64, floors: ClassFloors) {
        self.accrue(signed(cost_us), floors);
        let class = self.class_mut(candidate.ticket.urgency);
        match candidate.by_floor {
            true => class.spend_by_floor(signed(cost_us), u64::MAX),
            false => class.spend_by_priority(cost_us),
        }
    }

    /// Corrects the charge of a task that was taken by its floor; `excess_us` is the actual
    /// slot time less the predicted one.
    pub(crate) fn correct_floor(&mut self, urgency: Urgency, excess_us: i64, max_debt_us: u64) {
        self.class_mut(urgency).spend_by_floor(excess_us, max_debt_us);
    }

    /// Credits every class that has queued tasks with its floor of the slot time that the
    /// team used.
    pub(crate) fn accrue(&mut self, used_us: i64, floors: ClassFloors) {
        for urgency in Urgency::ALL {
            self.class_mut(urgency).accrue(used_us, floors.percent(urgency));
        }
    }

    fn first_class(&self, is_match: impl Fn(&ClassQueue<T>) -> bool) -> Option<Urgency> {
        Urgency::ALL.into_iter().find(|&urgency| is_match(self.class(urgency)))
    }

    pub(crate) fn class(&self, urgency: Urgency) -> &ClassQueue<T> {
        &self.classes[urgency.index()]
    }

    fn class_mut(&mut self, urgency: Urgency) -> &mut ClassQueue<T> {
        &mut self.classes[urgency.index()]
    }
}

fn signed(slot_us: u64) -> i64 {
    i64::try_from(slot_us).unwrap_or(i64::MAX)
}
