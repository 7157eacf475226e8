//! Names of calls, used as the `call` label of metrics.

use tarpc::{ClientMessage, Response};

use crate::{
    agent_rpc::{AgentRpcRequest, AgentRpcResponse},
    entry_rpc::{EntryRpcRequest, EntryRpcResponse},
};

const CANCELLED: &str = "cancel_request";
const ERROR: &str = "error";
const OTHER: &str = "other";

/// A message with the name of its call, which is used as a label of metrics.
pub trait MessageName {
    /// Returns the name of the call, `cancel_request` for the cancellation of any request and
    /// `error` for an error response.
    fn message_name(&self) -> &'static str;
}

impl<T: MessageName> MessageName for ClientMessage<T> {
    fn message_name(&self) -> &'static str {
        match self {
            Self::Request(req) => req.message.message_name(),
            Self::Cancel { .. } => CANCELLED,
            _ => OTHER,
        }
    }
}

impl<T: MessageName> MessageName for Response<T> {
    fn message_name(&self) -> &'static str {
        self.message.as_ref().map_or(ERROR, MessageName::message_name)
    }
}

macro_rules! message_names {
    ($($ty:ident { $($variant:ident => $name:literal),+ $(,)? })+) => {
        $(
            impl MessageName for $ty {
                fn message_name(&self) -> &'static str {
                    match self {
                        $(Self::$variant { .. } => $name),+
                    }
                }
            }
        )+
    };
}

message_names! {
    AgentRpcRequest {
        Hello => "hello", Run => "run", Cancel => "cancel", Inquire => "inquire",
        Started => "started",
    }
    AgentRpcResponse {
        Hello => "hello", Run => "run", Cancel => "cancel", Inquire => "inquire",
        Started => "started",
    }
    EntryRpcRequest {
        Announce => "announce", Renew => "renew", Members => "members", Submit => "submit",
        Status => "status", Cancel => "cancel_job", Probe => "probe", Config => "config",
    }
    EntryRpcResponse {
        Announce => "announce", Renew => "renew", Members => "members", Submit => "submit",
        Status => "status", Cancel => "cancel_job", Probe => "probe", Config => "config",
    }
}
