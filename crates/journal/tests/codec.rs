//! Decoding of records that are damaged, of another format, or with other content than the
//! reader expects.

use journal::{RecordError, RecordErrorKind, decode_record, encode_body, encode_record};
use ports::{LogRecord, Offset, StreamName};
use proptest::{
    prelude::{ProptestConfig, any, prop_assert, prop_assert_eq},
    proptest,
    test_runner::RngSeed,
};
use types::Incarnation;

const OFFSET: Offset = Offset(42);

fn encode(bodies: &[String]) -> Vec<u8> {
    let bodies: Vec<_> = bodies.iter().map(|body| encode_body(body).unwrap()).collect();
    encode_record(Incarnation::from_u128(1), 9, bodies.iter().map(Vec::as_slice))
}

fn decode(data: Vec<u8>) -> Result<Vec<String>, RecordError> {
    let stream = StreamName::claims();
    decode_record(&stream, &LogRecord { offset: OFFSET, data }).map(|record| record.bodies)
}

fn changed(at: usize, byte: u8) -> Vec<u8> {
    let mut data = encode(&["abc".to_owned()]);
    data[at] = byte;
    data
}

fn truncated(length: usize) -> Vec<u8> {
    encode(&["abc".to_owned()])[..length].to_vec()
}

fn with_bodies<T: serde::Serialize>(body: &T) -> Vec<u8> {
    let body = encode_body(body).unwrap();
    encode_record(Incarnation::from_u128(1), 9, [body.as_slice()].into_iter())
}

types::cases! {
    fn damaged_record_names_stream_and_offset(data: Vec<u8>, kind: RecordErrorKind) {
        let error = decode(data).unwrap_err();
        assert_eq!(error.kind, kind);
        assert_eq!((error.stream.clone(), error.offset), (StreamName::claims(), OFFSET));
        let text = error.to_string();
        assert!(text.starts_with("decoding the record at offset 42 of stream claims"), "{text}");
    }

    newer_format: (changed(0, 2), RecordErrorKind::UnknownFormat(2)),
    no_format: (changed(0, 0), RecordErrorKind::UnknownFormat(0)),
    empty: (Vec::new(), RecordErrorKind::Truncated),
    truncated_envelope: (truncated(3), RecordErrorKind::Truncated),
    truncated_content: (truncated(20), RecordErrorKind::Truncated),
    last_byte_lost: (truncated(encode(&["abc".to_owned()]).len() - 1), RecordErrorKind::Truncated),
    changed_content: (changed(28, b'x'), RecordErrorKind::Checksum),
    bytes_added: ([encode(&[]), vec![0]].concat(), RecordErrorKind::Checksum),
    other_body: (with_bodies(&300_u16), RecordErrorKind::Truncated),
    longer_body: (
        with_bodies(&("abc", 1_u8)),
        RecordErrorKind::Content("1 bytes are left over".to_owned()),
    ),
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn record_is_read_as_it_was_written(bodies: Vec<String>) {
        prop_assert_eq!(decode(encode(&bodies)).unwrap(), bodies);
    }

    #[test]
    fn garbage_is_an_error(data: Vec<u8>) {
        prop_assert!(decode(data).is_err());
    }

    #[test]
    fn any_changed_byte_is_an_error(bodies: Vec<String>, at in any::<usize>(), flip in 1_u8..) {
        let mut data = encode(&bodies);
        let at = at % data.len();
        data[at] ^= flip;
        prop_assert!(decode(data).is_err());
    }
}
