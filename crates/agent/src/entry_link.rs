//! Announcements to one entry: the first one, renewals and reconnection.

use std::{net::SocketAddr, sync::Arc};

use rpc::EntriesDigest;
use tokio::{
    sync::{Notify, watch},
    time::{Duration, Instant, sleep},
};
use types::EntryName;

use crate::{
    announcer::{AnnouncedState, Announcer},
    entry_client::{EntryCallError, EntryClient},
    known_entries::AddressSource,
    messages::EntryLost,
    metric_names,
    reconnect::ReconnectBackoff,
    renewal_period::RenewalPeriod,
};

/// Time after which a learned entry that stays unreachable is removed.
const LEARNED_ENTRY_TIMEOUT: Duration = Duration::from_secs(600);

/// The announcement to which the entry last replied, and the digest of the entries in that reply.
struct LastReply {
    announced: AnnouncedState,
    entries: EntriesDigest,
}

/// Reason why a wait between two calls ended.
enum Wakeup {
    /// It is time to call the entry.
    Due,
    /// The connection was closed.
    Closed,
    /// The agent has stopped.
    Stopped,
}

/// A link to one entry.  `client` is absent while there is no connection; `entry` is the name from
/// the latest reply; `failing_since` is the time of the first failed call since the last success.
pub(crate) struct EntryLink {
    announcer: Arc<Announcer>,
    addr: SocketAddr,
    source: AddressSource,
    restarted: Arc<Notify>,
    state: watch::Receiver<AnnouncedState>,
    client: Option<EntryClient>,
    last_reply: Option<LastReply>,
    entry: Option<EntryName>,
    backoff: ReconnectBackoff,
    renewal_period: RenewalPeriod,
    failing_since: Option<Instant>,
}

impl EntryLink {
    pub(crate) fn new(
        announcer: Arc<Announcer>,
        addr: SocketAddr,
        source: AddressSource,
        restarted: Arc<Notify>,
    ) -> Self {
        let state = announcer.state.clone();
        Self {
            announcer,
            addr,
            source,
            restarted,
            state,
            client: None,
            last_reply: None,
            entry: None,
            backoff: ReconnectBackoff::default(),
            renewal_period: RenewalPeriod::default(),
            failing_since: None,
        }
    }

    /// Announces to the entry until the agent stops or the entry is removed.
    pub(crate) async fn run(mut self) {
        loop {
            let delay = match self.call().await {
                Ok(()) => {
                    self.backoff.reset();
                    self.failing_since = None;
                    self.renewal_period.after_renewal(rand::random())
                }
                Err(e) => {
                    log::debug!("announcement failed; the agent retries after a delay: {e}");
                    self.on_call_failure().await;
                    self.backoff.after_failure(rand::random())
                }
            };
            if self.is_expired() {
                return self.announcer.known_entries.remove(self.addr);
            }
            let mut wakeup = self.wait(delay).await;
            if matches!(wakeup, Wakeup::Closed) {
                self.disconnect();
                let delay = self.backoff.after_loss(rand::random());
                wakeup = self.wait(delay).await;
            }
            if matches!(wakeup, Wakeup::Stopped) {
                return;
            }
        }
    }

    fn disconnect(&mut self) {
        self.client = None;
        self.last_reply = None;
        self.renewal_period.reset();
    }

    /// Closes the connection.  The second failure in a row also withdraws the slots offered to the
    /// entry.
    async fn on_call_failure(&mut self) {
        self.disconnect();
        let is_first_failure = self.failing_since.is_none();
        self.failing_since.get_or_insert_with(Instant::now);
        if let Some(name) = self.entry.take_if(|_| !is_first_failure) {
            let _ = self.announcer.core.tell(EntryLost(name)).await;
        }
    }

    fn is_expired(&self) -> bool {
        let is_unreachable =
            self.failing_since.is_some_and(|since| since.elapsed() >= LEARNED_ENTRY_TIMEOUT);
        is_unreachable && self.source == AddressSource::Learned
    }

    async fn wait(&mut self, delay: Duration) -> Wakeup {
        let closed = async {
            match &self.client {
                Some(client) => client.closed().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = self.state.changed() => match changed {
                Ok(()) => Wakeup::Due,
                Err(_) => Wakeup::Stopped,
            },
            () = closed => Wakeup::Closed,
            () = self.restarted.notified() => {
                self.last_reply = None;
                Wakeup::Due
            }
            () = sleep(delay) => Wakeup::Due,
        }
    }

    /// Renews the announcement.  Announces in full if the state has changed, the entry does not
    /// have the announcement, or the entries that it knows differ from those in its last reply.
    async fn call(&mut self) -> Result<(), EntryCallError> {
        let announced = *self.state.borrow_and_update();
        if self.client.is_none() {
            self.client = Some(EntryClient::connect(self.addr).await?);
        }
        match &self.last_reply {
            Some(reply) if reply.announced == announced => {
                if !self.renew(announced).await? {
                    self.announce(announced).await?;
                }
            }
            _ => self.announce(announced).await?,
        }
        Ok(())
    }

    /// Returns whether the entry still has the announcement and knows the same entries as in its
    /// last reply.
    async fn renew(&self, announced: AnnouncedState) -> Result<bool, EntryCallError> {
        let (Some(client), Some(last_reply)) = (&self.client, &self.last_reply) else {
            return Ok(false);
        };
        metrics::counter!(metric_names::RENEWALS).increment(1);
        let reply = client.renew(self.announcer.renewal(announced)).await?;
        Ok(reply.is_known && reply.entries == last_reply.entries)
    }

    async fn announce(&mut self, announced: AnnouncedState) -> Result<(), EntryCallError> {
        let Some(client) = &self.client else { return Ok(()) };
        metrics::counter!(metric_names::ANNOUNCEMENTS).increment(1);
        let reply = client.announce(self.announcer.announcement(announced)).await?;
        let entries = EntriesDigest::of(&reply.entries);
        self.announcer.known_entries.set_incarnation(self.addr, reply.entry.incarnation);
        reply
            .entries
            .iter()
            .for_each(|entry| self.announcer.add_entry(entry.addr, AddressSource::Learned));
        self.entry = Some(reply.entry.name);
        self.last_reply = Some(LastReply { announced, entries });
        self.renewal_period.reset();
        Ok(())
    }
}
