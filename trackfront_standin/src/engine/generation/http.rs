//! Generations over the engine's HTTP interface.

use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame as BodyFrame, Incoming};
use trackfront_adapters::http_server::{Abort, BodyError, response};
use trackfront_adapters::wire::engine::{
    ADAPTER_HEADER, CONTINUE_HEADER, DONE, FINAL_HEADER, MODEL_HEADER, PRIORITY_HEADER,
    REQUEST_ID_HEADER, RESUME_HEADER, VERSION_HEADER, event_id,
};
use trackfront_core::ids::{ItemKey, RequestId};
use trackfront_core::ports::engine::GenerateKind;
use trackfront_core::ports::{Frame, FrameBody};

use super::{Generation, OTHER_REQUEST, Progress, Start, StartError};
use crate::engine::{EngineStandin, take};
use crate::server::{Answer, body};

/// Reads the request's identifier and item from its headers.
fn named(headers: &HeaderMap) -> Option<(RequestId, ItemKey)> {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let item = ItemKey {
        model: text(MODEL_HEADER)?.into(),
        adapter: text(ADAPTER_HEADER).map(Into::into),
        version: text(VERSION_HEADER)?.into(),
    };
    Some((text(REQUEST_ID_HEADER)?.into(), item))
}

/// Answers that the request itself is at fault.
fn final_refusal(status: StatusCode, detail: impl Into<String>) -> Answer {
    let mut refusal = response(status, "text/plain", detail.into());
    refusal.headers_mut().insert(FINAL_HEADER, http::HeaderValue::from_static("1"));
    Ok(refusal)
}

impl EngineStandin {
    /// Starts, resumes or continues a request over HTTP.
    pub(in crate::engine) async fn generate(
        &self,
        request: Request<Incoming>,
        kind: GenerateKind,
    ) -> Answer {
        if self.take_drop_fault() {
            return Err(Abort);
        }
        let Some((id, item)) = named(request.headers()) else {
            return final_refusal(StatusCode::BAD_REQUEST, "the request names no item");
        };
        let number = |name: &str| -> Option<u64> {
            request.headers().get(name)?.to_str().ok()?.parse().ok()
        };
        let resume = number(RESUME_HEADER);
        let continue_at = number(CONTINUE_HEADER);
        let priority = number(PRIORITY_HEADER).unwrap_or(0) as u8;
        let bytes = body(request).await?;
        let start = Start { id, kind, item, priority, resume, continue_at, body: &bytes };
        match self.begin(start) {
            Ok((generation, offset)) if generation.wanted.stream => {
                Ok(self.stream(generation, offset))
            }
            Ok((generation, _)) => self.whole(generation).await,
            Err(StartError::Bad(detail)) => final_refusal(StatusCode::BAD_REQUEST, detail),
            Err(StartError::NotHere { status, detail }) => {
                Ok(response(status, "text/plain", detail))
            }
        }
    }

    pub(in crate::engine) fn take_drop_fault(&self) -> bool {
        take(&mut self.inner.faults.lock().drop_requests)
    }

    /// Answers with the whole text once it is there.
    async fn whole(&self, generation: Arc<Generation>) -> Answer {
        let Some((id, body)) = self.whole_body(&generation).await else {
            return Err(Abort);
        };
        let mut answer = response(StatusCode::OK, "application/json", body);
        if let Ok(value) = id.as_str().parse() {
            answer.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        Ok(answer)
    }

    /// Waits for the whole text and returns it with the request that it names; `None` if the
    /// request was cancelled.
    pub(in crate::engine) async fn whole_body(
        &self,
        generation: &Generation,
    ) -> Option<(RequestId, Bytes)> {
        let mut progress = generation.progress.subscribe();
        let ended = progress.wait_for(|progress| !matches!(progress, Progress::Tokens(_))).await;
        if ended.is_ok_and(|progress| *progress == Progress::Cancelled) {
            return None;
        }
        let id = match self.take_wrong_id() {
            true => OTHER_REQUEST.into(),
            false => generation.id.clone(),
        };
        Some((id, generation.whole().to_string().into()))
    }

    /// Answers with a stream of events from `offset` on.
    fn stream(
        &self,
        generation: Arc<Generation>,
        offset: u64,
    ) -> Response<trackfront_adapters::http_server::Body> {
        let events = self.frames(generation, offset).map(|frame| match frame {
            Ok(frame) => Ok(BodyFrame::data(encode(&frame))),
            Err(error) => Err(BodyError::from(error.to_string())),
        });
        Response::builder()
            .header(http::header::CONTENT_TYPE, "text/event-stream")
            .body(BodyExt::boxed_unsync(StreamBody::new(events)))
            .expect("the header is valid")
    }

    fn take_wrong_id(&self) -> bool {
        take(&mut self.inner.faults.lock().wrong_ids)
    }
}

/// Encodes a frame as an event.
fn encode(frame: &Frame) -> Bytes {
    let id = event_id(&frame.request, frame.offset);
    let data = match &frame.body {
        FrameBody::Data(data) => String::from_utf8_lossy(data),
        FrameBody::End => DONE.into(),
    };
    format!("id: {id}\ndata: {data}\n\n").into()
}
