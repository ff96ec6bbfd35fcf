//! The boundaries of the events in a stream (`text/event-stream`).
//!
//! An event ends with an empty line. Lines end with LF, CR LF or CR, and a read may end anywhere.

/// Finds the ends of events in the bytes of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventScanner {
    is_line_empty: bool,
    /// Whether the last byte was a CR, whose LF may follow.
    is_after_cr: bool,
    is_between_events: bool,
}

impl Default for EventScanner {
    fn default() -> Self {
        Self { is_line_empty: true, is_after_cr: false, is_between_events: true }
    }
}

impl EventScanner {
    /// Reads the next bytes of the stream. Returns how many of them lie before the end of the last complete event, if one
    /// ends in them.
    pub fn read(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            self.read_byte(*byte);
            if self.is_between_events {
                end = Some(index + 1);
            }
        }
        end
    }

    /// Returns whether no event has begun since the last one ended. A stream that ends elsewhere has been broken off.
    pub fn is_between_events(&self) -> bool {
        self.is_between_events
    }

    fn read_byte(&mut self, byte: u8) {
        let completes_cr = byte == b'\n' && self.is_after_cr;
        self.is_after_cr = byte == b'\r';
        if completes_cr {
            return;
        }
        let ends_line = matches!(byte, b'\n' | b'\r');
        self.is_between_events = ends_line && self.is_line_empty;
        self.is_line_empty = ends_line;
    }
}
