//! A client for the calls of an agent to one entry.

use std::{net::SocketAddr, time::Instant};

use rpc::{Announcement, AnnouncementReply, EntryRpcClient, Renewal, RenewalReply};
use tarpc::{client, client::NewClient, context};
use thiserror::Error;
use tokio::{
    sync::watch,
    time::{Duration, timeout},
};
use types::StepError;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason why a call to an entry failed.
#[derive(Debug, Error)]
pub(crate) enum EntryCallError {
    /// The connection could not be opened.
    #[error(transparent)]
    Connect(#[from] StepError),
    /// The entry did not reply within one second.
    #[error("entry {0} did not reply in time")]
    Timeout(SocketAddr),
    /// The call failed, for example because the connection was closed.
    #[error("call to entry {addr} failed")]
    Call {
        /// Address of the entry.
        addr: SocketAddr,
        /// Cause of the failure.
        source: client::RpcError,
    },
}

/// A connection to an entry.  The sender of `open_rx` is dropped when the connection closes.
pub(crate) struct EntryClient {
    addr: SocketAddr,
    client: EntryRpcClient,
    open_rx: watch::Receiver<()>,
}

impl EntryClient {
    pub(crate) async fn connect(addr: SocketAddr) -> Result<Self, EntryCallError> {
        let transport = rpc::connect(addr).await?;
        let NewClient { client, dispatch } =
            EntryRpcClient::new(client::Config::default(), transport);
        let (open_tx, open_rx) = watch::channel(());
        tokio::spawn(async move {
            let _ = dispatch.await;
            drop(open_tx);
        });
        Ok(Self { addr, client, open_rx })
    }

    pub(crate) async fn announce(
        &self,
        announcement: Announcement,
    ) -> Result<AnnouncementReply, EntryCallError> {
        self.with_timeout(self.client.announce(call_context(), announcement)).await
    }

    pub(crate) async fn renew(&self, renewal: Renewal) -> Result<RenewalReply, EntryCallError> {
        self.with_timeout(self.client.renew(call_context(), renewal)).await
    }

    /// Completes when the connection is closed.
    pub(crate) async fn closed(&self) {
        let mut open_rx = self.open_rx.clone();
        while open_rx.changed().await.is_ok() {}
    }

    async fn with_timeout<T>(
        &self,
        call: impl Future<Output = Result<T, client::RpcError>>,
    ) -> Result<T, EntryCallError> {
        let reply = timeout(CALL_TIMEOUT, call).await;
        let reply = reply.map_err(|_| EntryCallError::Timeout(self.addr))?;
        reply.map_err(|source| EntryCallError::Call { addr: self.addr, source })
    }
}

/// Returns a context whose deadline is the timeout of a call.
fn call_context() -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + CALL_TIMEOUT;
    cx
}
