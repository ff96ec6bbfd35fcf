//! Checks that the frames of an answer belong to it and are in order.

use bytes::Bytes;

use crate::ids::RequestId;
use crate::ports::{Frame, FrameBody};

/// What to do with a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Pass it to the caller.
    Deliver(Bytes),
    /// The answer is whole.
    End,
    /// Drop it: it belongs to another request.
    OtherRequest,
    /// Drop it: it was delivered before.
    Repeated,
    /// Frames are missing before it; the stream has to be resumed.
    Gap,
}

/// Follows the frames of one answer.
#[derive(Clone, Debug)]
pub struct AnswerCheck {
    request: RequestId,
    next: u64,
    ended: bool,
}

impl AnswerCheck {
    /// Starts to follow the answer to `request`.
    pub fn new(request: RequestId) -> Self {
        Self { request, next: 0, ended: false }
    }

    /// Returns the offset of the next frame, from which a stream is resumed.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Judges a frame.
    pub fn judge(&mut self, frame: Frame) -> Verdict {
        assert!(!self.ended, "nothing is read after the end of an answer");
        if frame.request != self.request {
            return Verdict::OtherRequest;
        }
        if frame.offset < self.next {
            return Verdict::Repeated;
        }
        if frame.offset > self.next {
            return Verdict::Gap;
        }
        match frame.body {
            FrameBody::Data(data) => {
                self.next += 1;
                Verdict::Deliver(data)
            }
            FrameBody::End => {
                self.ended = true;
                Verdict::End
            }
        }
    }
}

#[cfg(test)]
mod tests;
