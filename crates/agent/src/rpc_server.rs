//! The server for the calls that entries make to the agent.

use std::sync::Arc;

use kameo::actor::ActorRef;
use rpc::{
    AgentRpc, AttemptState, CancelBatch, Hello, HelloReply, LoadReport, NotStarted, StartedQuery,
    StartedReport, TaskReply, TaskResult, TaskStart,
};
use tarpc::{
    context,
    server::{BaseChannel, Channel},
};
use tokio::{net::TcpListener, sync::oneshot};
use types::{AttemptKey, Incarnation};

use crate::{
    announcer::Announcer,
    core::Core,
    messages::{Cancel, Handshake, QueryAttempts, QueryStarted, RunAttempt},
};

#[derive(Clone)]
pub(crate) struct RpcServer {
    pub(crate) core: ActorRef<Core>,
    pub(crate) announcer: Arc<Announcer>,
    pub(crate) incarnation: Incarnation,
}

impl RpcServer {
    /// Accepts connections of entries and serves them, without end.
    pub(crate) async fn serve_links(self, listener: TcpListener) {
        use futures::StreamExt;
        loop {
            let transport = rpc::accept(&listener).await;
            let requests = BaseChannel::with_defaults(transport).execute(self.clone().serve());
            tokio::spawn(requests.for_each(|response| async move {
                tokio::spawn(response);
            }));
        }
    }
}

impl AgentRpc for RpcServer {
    async fn hello(self, _: context::Context, hello: Hello) -> HelloReply {
        self.announcer.on_hello(&hello.entry);
        match self.core.ask(Handshake(hello)).await {
            Ok(reply) => reply.0,
            Err(_) => HelloReply {
                incarnation: self.incarnation,
                memory_ms: 0,
                offers: None,
                is_stale: true,
                load: LoadReport::default(),
            },
        }
    }

    async fn run(self, _: context::Context, start: TaskStart) -> TaskReply {
        let (tx, rx) = oneshot::channel();
        let key = start.key;
        let is_delivered = self.core.tell(RunAttempt { start, tx }).await.is_ok();
        let result = match rx.await {
            Ok(reply) => return reply,
            Err(_) if is_delivered => TaskResult::Unknown("agent stopped".to_owned()),
            Err(_) => TaskResult::NotStarted(NotStarted::Leaving),
        };
        TaskReply { key, result, queued_us: 0, offers: 0, load: LoadReport::default(), usage: None }
    }

    async fn cancel(self, _: context::Context, batch: CancelBatch) {
        let _ = self.core.tell(Cancel(batch)).await;
    }

    async fn inquire(self, _: context::Context, keys: Vec<AttemptKey>) -> Vec<AttemptState> {
        self.core.ask(QueryAttempts(keys)).await.map_or_else(|_| Vec::new(), |reply| reply.0)
    }

    async fn started(self, _: context::Context, query: StartedQuery) -> StartedReport {
        match self.core.ask(QueryStarted(query)).await {
            Ok(reply) => reply.0,
            Err(_) => {
                StartedReport { incarnation: self.incarnation, memory_ms: 0, attempts: Vec::new() }
            }
        }
    }
}
