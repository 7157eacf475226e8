use super::{MAX_WRITE_BYTES, split_into_writes};

types::cases! {
    fn writes_consist_of_whole_lines(line_bytes: usize, lines: usize, expected_writes: usize) {
        let text = [vec![b'x'; line_bytes - 1], vec![b'\n']].concat().repeat(lines);
        let writes: Vec<_> = split_into_writes(&text).collect();
        assert_eq!(writes.concat(), text);
        assert_eq!(writes.len(), expected_writes);
        assert!(writes.iter().all(|write| write.ends_with(b"\n")));
        assert!(writes.iter().all(|write| write.len() <= MAX_WRITE_BYTES.max(line_bytes)));
    }
    none: (10, 0, 0),
    one: (178, 1, 1),
    many: (178, 100, 5),
    exact: (1_024, 4, 1),
    long: (5_000, 3, 3),
}
