use ports::{LogRecord, StreamName};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use types::{Digest, Incarnation};

use crate::{Record, RecordError, RecordErrorKind};

/// Version of the envelope and of the encoding of bodies.
pub const RECORD_FORMAT: u16 = 1;

const STEP: &str = "decoding";
const CHECKSUM_BYTES: usize = 4;

/// Precedes the content of a record, so that damage is detected before the content is
/// decoded.
#[derive(Serialize, Deserialize)]
struct Envelope {
    format: u16,
    length: u32,
    checksum: [u8; CHECKSUM_BYTES],
}

/// First part of the content; the bodies follow it.
#[derive(Serialize, Deserialize)]
struct Header {
    writer: Incarnation,
    sequence: u64,
    bodies: u32,
}

/// Encodes one body for [`encode_record`].
///
/// # Errors
///
/// Returns an error if the body's `Serialize` fails.
pub fn encode_body<B: Serialize>(body: &B) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(body)
}

/// Encodes a record from bodies that [`encode_body`] has encoded.
pub fn encode_record<'a>(
    writer: Incarnation,
    sequence: u64,
    bodies: impl ExactSizeIterator<Item = &'a [u8]>,
) -> Vec<u8> {
    let header = Header { writer, sequence, bodies: bodies.len() as u32 };
    let content = bodies.fold(to_bytes(&header), |mut content, body| {
        content.extend_from_slice(body);
        content
    });
    let envelope = Envelope {
        format: RECORD_FORMAT,
        length: content.len() as u32,
        checksum: checksum(&content),
    };
    let mut data = to_bytes(&envelope);
    data.extend_from_slice(&content);
    data
}

/// Decodes a record of a stream.
///
/// # Errors
///
/// Returns [`RecordError`] with the stream, the offset and the reason if the record cannot
/// be decoded.
pub fn decode_record<B: DeserializeOwned>(
    stream: &StreamName,
    record: &LogRecord,
) -> Result<Record<B>, RecordError> {
    let error =
        |kind| RecordError { step: STEP, stream: stream.clone(), offset: record.offset, kind };
    let (header, content) = decode_header(&record.data).map_err(error)?;
    let bodies = decode_bodies(header.bodies, content).map_err(error)?;
    let Header { writer, sequence, .. } = header;
    Ok(Record { offset: record.offset, writer, sequence, bodies })
}

/// Returns whether a record is intact and has this writer and sequence number.
pub(crate) fn is_record_of(data: &[u8], writer: Incarnation, sequence: u64) -> bool {
    decode_header(data)
        .is_ok_and(|(header, _)| header.writer == writer && header.sequence == sequence)
}

fn to_bytes<T: Serialize>(part: &T) -> Vec<u8> {
    postcard::to_stdvec(part).expect("numbers and identifiers can be encoded")
}

fn checksum(content: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let digest = Digest::of_bytes(content);
    let bytes = digest.as_bytes();
    [bytes[0], bytes[1], bytes[2], bytes[3]]
}

fn decode_header(data: &[u8]) -> Result<(Header, &[u8]), RecordErrorKind> {
    let (format, _) = decode_prefix::<u16>(data)?;
    if format != RECORD_FORMAT {
        return Err(RecordErrorKind::UnknownFormat(format));
    }
    let (envelope, content) = decode_prefix::<Envelope>(data)?;
    if content.len() < envelope.length as usize {
        return Err(RecordErrorKind::Truncated);
    }
    if content.len() > envelope.length as usize || checksum(content) != envelope.checksum {
        return Err(RecordErrorKind::Checksum);
    }
    decode_prefix(content)
}

fn decode_bodies<B: DeserializeOwned>(
    count: u32,
    content: &[u8],
) -> Result<Vec<B>, RecordErrorKind> {
    let mut rest = content;
    let bodies = (0..count)
        .map(|_| {
            let (body, remaining) = decode_prefix::<B>(rest)?;
            rest = remaining;
            Ok(body)
        })
        .collect::<Result<Vec<_>, RecordErrorKind>>()?;
    if rest.is_empty() {
        Ok(bodies)
    } else {
        Err(RecordErrorKind::Content(format!("{} bytes are left over", rest.len())))
    }
}

fn decode_prefix<'a, T: Deserialize<'a>>(data: &'a [u8]) -> Result<(T, &'a [u8]), RecordErrorKind> {
    postcard::take_from_bytes(data).map_err(|e| match e {
        postcard::Error::DeserializeUnexpectedEnd => RecordErrorKind::Truncated,
        e => RecordErrorKind::Content(e.to_string()),
    })
}
