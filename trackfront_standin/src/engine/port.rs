//! The engine's port without HTTP, for runs on a paused clock.

use async_trait::async_trait;
use futures::StreamExt;
use trackfront_adapters::wire::engine::{OrderAnswer, continued_body};
use trackfront_core::ids::{Fence, RequestId};
use trackfront_core::order::Order;
use trackfront_core::ports::{
    CacheEvents, Engine, EngineError, Frame, FrameStream, GenerateError, GenerateRequest, KvBlob,
    LoadReport, OrderReply, StartFrom,
};

use super::EngineStandin;
use super::generation::{Start, StartError};

/// Cancels a request whose reader goes away before the end.
struct CancelGuard {
    engine: EngineStandin,
    request: Option<RequestId>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(request) = &self.request {
            self.engine.cancel(request);
        }
    }
}

impl EngineStandin {
    fn reach(&self) -> Result<(), EngineError> {
        match self.inner.faults.lock().down {
            true => Err(EngineError::Unavailable("the engine is down".into())),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl Engine for EngineStandin {
    async fn generate(&self, wanted: GenerateRequest) -> Result<FrameStream, GenerateError> {
        self.reach().map_err(|error| GenerateError::Unreachable(error.to_string()))?;
        if self.take_drop_fault() {
            return Err(GenerateError::Broke("dropped on command".into()));
        }
        let (body, resume, continue_at) = match &wanted.from {
            StartFrom::Start => (wanted.body.to_vec(), None, None),
            StartFrom::Resume { offset } => (wanted.body.to_vec(), Some(*offset), None),
            StartFrom::Continue { offset, delivered } => {
                let body = continued_body(&wanted.body, delivered)
                    .map_err(|error| GenerateError::Broke(error.to_string()))?;
                (body, None, Some(*offset))
            }
        };
        let start = Start {
            id: wanted.id.clone(),
            kind: wanted.kind,
            item: wanted.item.clone(),
            priority: wanted.priority,
            resume,
            continue_at,
            body: &body,
        };
        let (generation, offset) = self.begin(start).map_err(|error| match error {
            StartError::Bad(detail) => {
                GenerateError::Refused { status: 400, detail, final_refusal: true, back_off: None }
            }
            StartError::NotHere { status, detail } => {
                let status = status.as_u16();
                GenerateError::Refused { status, detail, final_refusal: false, back_off: None }
            }
        })?;
        let guard = CancelGuard { engine: self.clone(), request: Some(wanted.id) };
        if wanted.stream {
            let frames = self.frames(generation, offset);
            let guarded =
                futures::stream::unfold((frames, guard), |(mut frames, mut guard)| async move {
                    let frame = frames.next().await;
                    let goes_on = matches!(&frame, Some(Ok(frame)) if !frame.is_end());
                    if !goes_on {
                        guard.request = None;
                    }
                    Some((frame?, (frames, guard)))
                });
            return Ok(Box::pin(guarded));
        }
        let mut guard = guard;
        let whole = self.whole_body(&generation).await;
        guard.request = None;
        let Some((request, body)) = whole else {
            return Err(GenerateError::Broke("the request was cancelled".into()));
        };
        let frames = [Frame::data(request.clone(), 0, body), Frame::end(request, 1)];
        Ok(Box::pin(futures::stream::iter(frames.into_iter().map(Ok))))
    }

    async fn cancel(&self, request: &RequestId) -> Result<(), EngineError> {
        self.reach()?;
        EngineStandin::cancel(self, request);
        Ok(())
    }

    async fn order(&self, order: &Order) -> OrderReply {
        if let Err(error) = self.reach() {
            return OrderReply::Unknown(error);
        }
        let answer = self.carry_out(order.clone());
        if self.take_lost_order_reply() {
            return OrderReply::Unknown(EngineError::Unavailable("the reply was lost".into()));
        }
        match answer {
            OrderAnswer::Accepted => OrderReply::Accepted,
            OrderAnswer::Stale { seen } => OrderReply::Stale { seen: Fence(seen) },
            OrderAnswer::Refused { reason } => OrderReply::Refused { reason },
        }
    }

    async fn report(&self) -> Result<LoadReport, EngineError> {
        self.reach()?;
        Ok(self.current_report())
    }

    async fn cache_events(&self, sequence: u64) -> Result<CacheEvents, EngineError> {
        self.reach()?;
        Ok(self.events_after(sequence))
    }

    async fn export_kv(&self, request: &RequestId) -> Result<Option<KvBlob>, EngineError> {
        self.reach()?;
        let generations = self.inner.generations.lock();
        Ok(generations.get(request).map(|generation| KvBlob(generation.export())))
    }

    async fn import_kv(&self, request: &RequestId, kv: KvBlob) -> Result<(), EngineError> {
        self.reach()?;
        match self.import(request.clone(), &kv.0) {
            true => Ok(()),
            false => Err(EngineError::BadAnswer("not a KV cache".into())),
        }
    }
}
