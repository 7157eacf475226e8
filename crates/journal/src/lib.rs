//! Client of the platform's log: writers with group commit that find out whether an append
//! without an answer took effect, readers that drop duplicates by each record's writer and
//! sequence number, and the configuration stream with its snapshots.

mod appender;
mod backlog;
mod backoff;
mod change_or_snapshot;
mod codec;
mod config;
mod duplicate_filter;
mod follower;
mod journal_error;
mod page;
mod page_check;
mod read_error;
mod reader;
mod record;
mod record_error;
mod recovery;
mod stream_label;
mod writer;
mod writer_settings;
mod writer_shared;
mod writer_state;

pub use crate::{
    change_or_snapshot::ChangeOrSnapshot,
    codec::{RECORD_FORMAT, decode_record, encode_body, encode_record},
    config::{
        ConfigFold, ConfigFollower, ConfigProgress, ConfigPublisher, ConfigRecord,
        PublisherSettings, Submission,
    },
    follower::{Follower, FollowerEvent},
    journal_error::JournalError,
    page::Page,
    read_error::ReadError,
    reader::Reader,
    record::Record,
    record_error::{RecordError, RecordErrorKind},
    recovery::{Recovered, Recovery},
    writer::{Committed, Writer},
    writer_settings::WriterSettings,
    writer_state::WriterState,
};
