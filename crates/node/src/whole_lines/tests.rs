use super::{MAX_WRITE_BYTES, writes};

types::cases! {
    fn every_write_is_of_whole_lines(line_bytes: usize, lines: usize, writes_expected: usize) {
        let text = [vec![b'x'; line_bytes - 1], vec![b'\n']].concat().repeat(lines);
        let pieces: Vec<_> = writes(&text).collect();
        assert_eq!(pieces.concat(), text);
        assert_eq!(pieces.len(), writes_expected);
        assert!(pieces.iter().all(|piece| piece.ends_with(b"\n")));
        assert!(pieces.iter().all(|p| p.len() <= MAX_WRITE_BYTES.max(line_bytes)));
    }
    none: (10, 0, 0),
    one: (178, 1, 1),
    many: (178, 100, 5),
    exact: (1_024, 4, 1),
    long: (5_000, 3, 3),
}
