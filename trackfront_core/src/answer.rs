//! Checks that the frames of an answer belong to it and are in order.

use bytes::Bytes;

use crate::ids::RequestId;
use crate::ports::{Frame, FrameBody};

/// What to do with a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameAction {
    /// Pass it to the caller.
    Deliver(Bytes),
    /// The answer is complete.
    End,
    /// Drop it, since it belongs to another request.
    OtherRequest,
    /// Drop it, since it was delivered before.
    Repeated,
    /// Resume the stream, since frames are missing before this one.
    Gap,
}

/// Checks the frames of one answer.
#[derive(Clone, Debug)]
pub struct AnswerCheck {
    request: RequestId,
    next_offset: u64,
    has_ended: bool,
}

impl AnswerCheck {
    /// Creates the check for the answer to `request`.
    pub fn new(request: RequestId) -> Self {
        Self { request, next_offset: 0, has_ended: false }
    }

    /// Returns the offset of the next frame, from which a stream is resumed.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns what to do with the next frame.
    ///
    /// # Panics
    ///
    /// If the answer has ended.
    pub fn accept(&mut self, frame: Frame) -> FrameAction {
        assert!(!self.has_ended, "nothing is read after the end of an answer");
        if frame.request != self.request {
            return FrameAction::OtherRequest;
        }
        if frame.offset < self.next_offset {
            return FrameAction::Repeated;
        }
        if frame.offset > self.next_offset {
            return FrameAction::Gap;
        }
        match frame.body {
            FrameBody::Data(data) => {
                self.next_offset += 1;
                FrameAction::Deliver(data)
            }
            FrameBody::End => {
                self.has_ended = true;
                FrameAction::End
            }
        }
    }
}

#[cfg(test)]
mod tests;
