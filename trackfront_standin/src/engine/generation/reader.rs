//! Reads a generation's frames for one connection, with the faults that are asked for.

use std::sync::Arc;

use tokio::sync::watch;
use trackfront_core::ports::{Frame, FrameStream, GenerateError};

use super::{Generation, OTHER_REQUEST, Progress};
use crate::engine::{EngineStandin, take};

impl EngineStandin {
    /// Returns the frames of a request from `offset` on.
    pub(in crate::engine) fn frames(
        &self,
        generation: Arc<Generation>,
        offset: u64,
    ) -> FrameStream {
        let progress = generation.progress.subscribe();
        let reader = Reader {
            engine: self.clone(),
            generation,
            progress,
            offset,
            sent: 0,
            over: false,
            extra: None,
        };
        Box::pin(futures::stream::unfold(reader, |mut reader| async move {
            let frame = reader.next_frame().await?;
            Some((frame, reader))
        }))
    }
}

/// One connection that reads a request's stream.
struct Reader {
    engine: EngineStandin,
    generation: Arc<Generation>,
    progress: watch::Receiver<Progress>,
    offset: u64,
    sent: u64,
    over: bool,
    /// A frame that a fault sends before or after the right one.
    extra: Option<Frame>,
}

impl Reader {
    /// Returns the next frame to send, or `None` at the end.
    async fn next_frame(&mut self) -> Option<Result<Frame, GenerateError>> {
        if let Some(extra) = self.extra.take() {
            return Some(Ok(extra));
        }
        if self.over {
            return None;
        }
        if self.takes_break_fault() {
            self.over = true;
            return Some(Err(GenerateError::Broke("the stream breaks on command".into())));
        }
        let offset = self.offset;
        let reached = self
            .progress
            .wait_for(|progress| !matches!(progress, Progress::Tokens(made) if *made <= offset))
            .await
            .map(|progress| *progress);
        if self.engine.inner.faults.lock().down {
            self.over = true;
            return Some(Err(GenerateError::Broke("the engine is down".into())));
        }
        let id = self.generation.id.clone();
        let is_last = offset >= self.generation.max_tokens();
        let frame = match reached {
            Ok(Progress::Tokens(_)) => Frame::data(id, offset, self.generation.chunk(offset)),
            Ok(Progress::Done) if !is_last => {
                Frame::data(id, offset, self.generation.chunk(offset))
            }
            Ok(Progress::Done) => {
                self.over = true;
                Frame::end(id, offset)
            }
            _ => {
                self.over = true;
                return Some(Err(GenerateError::Broke("the request was cancelled".into())));
            }
        };
        self.offset += 1;
        self.sent += 1;
        Some(Ok(self.with_faults(frame)))
    }

    /// Adds the frames that are sent too much on command.
    fn with_faults(&mut self, frame: Frame) -> Frame {
        let mut faults = self.engine.inner.faults.lock();
        if take(&mut faults.wrong_ids) {
            // Another request's frame comes before ours, as a mix-up in the engine would send.
            let other = Frame { request: OTHER_REQUEST.into(), ..frame.clone() };
            self.extra = Some(frame);
            return other;
        }
        if take(&mut faults.repeat_frames) {
            self.extra = Some(frame.clone());
        }
        frame
    }

    fn takes_break_fault(&self) -> bool {
        let mut faults = self.engine.inner.faults.lock();
        faults.break_streams > 0
            && self.sent == faults.break_after
            && take(&mut faults.break_streams)
    }
}
