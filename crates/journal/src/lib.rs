//! The client of the platform's log: records with writer and sequence, group commit,
//! resolution of lost answers, and followers that recover from snapshots.

mod appender;
mod backlog;
mod backoff;
mod codec;
mod config;
mod follower;
mod journal_error;
mod page;
mod page_check;
mod read_error;
mod reader;
mod record;
mod record_error;
mod recovery;
mod repeats;
mod snapshotted;
mod stream_label;
mod writer;
mod writer_settings;
mod writer_shared;
mod writer_state;

pub use crate::{
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
    snapshotted::Snapshotted,
    writer::{Committed, Writer},
    writer_settings::WriterSettings,
    writer_state::WriterState,
};
