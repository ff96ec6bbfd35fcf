use trackfront_core::serving::events::EventScanner;

/// Returns how many bytes lie before the end of the last complete event, and whether the text ends there.
fn scan(pieces: &[&str]) -> (usize, bool) {
    let mut scanner = EventScanner::default();
    let (mut read, mut end) = (0, 0);
    for piece in pieces {
        if let Some(complete) = scanner.read(piece.as_bytes()) {
            end = read + complete;
        }
        read += piece.len();
    }
    (end, scanner.is_between_events())
}

#[test]
fn events_end_with_an_empty_line_whatever_ends_their_lines() {
    for end in ["\n", "\r\n", "\r"] {
        let event = format!("id: 1{end}data: a{end}{end}");
        assert_eq!(scan(&[&event]), (event.len(), true));
        let open = format!("{event}id: 2{end}");
        assert_eq!(scan(&[&open]), (event.len(), false));
        let half = format!("{event}data: b");
        assert_eq!(scan(&[&half]), (event.len(), false));
    }
    assert_eq!(scan(&["a\n\r\n"]), (4, true));
    assert_eq!(scan(&["a\r\n\n"]), (4, true));
    assert_eq!(scan(&[""]), (0, true));
}

/// Guards against events that are not seen where a read ends inside them.
#[test]
fn reads_may_end_anywhere() {
    let text = "x-weights: 2\r\nid: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\n";
    let whole = scan(&[text]);
    assert_eq!(whole, (text.len() - "id: 3\n".len(), false));
    for first in 0..text.len() {
        for second in first..text.len() {
            let pieces = [&text[..first], &text[first..second], &text[second..]];
            assert_eq!(scan(&pieces), whole, "{pieces:?}");
        }
    }
}
