use super::super::upstream::{
    ConnectionLimits, EndpointPools, EndpointTarget, SendCondition, send,
};
use super::*;
use crate::shared_stream::tests::pair;
use dockgate_core::gateway::{EndpointId, SoftwareVersion};
use http::Request;
use http_body_util::Full;
use proptest::prelude::*;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LIMIT: usize = 48 << 10;

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy)]
enum BodyFraming {
    Length,
    Chunks,
    Close,
}

/// An answer, in the pieces in which an endpoint writes it.
#[derive(Debug, Clone)]
struct PiecedAnswer {
    framing: BodyFraming,
    pieces: Vec<Vec<u8>>,
    has_trailer: bool,
}

impl PiecedAnswer {
    fn body(&self) -> Vec<u8> {
        self.pieces.concat()
    }

    fn head(&self) -> String {
        let field = match self.framing {
            BodyFraming::Length => format!("content-length: {}", self.body().len()),
            BodyFraming::Chunks => "transfer-encoding: chunked".to_owned(),
            BodyFraming::Close => "connection: close".to_owned(),
        };
        format!("HTTP/1.1 200 OK\r\n{field}\r\n\r\n")
    }

    fn framed(&self, piece: &[u8]) -> Vec<u8> {
        match self.framing {
            BodyFraming::Chunks if piece.is_empty() => Vec::new(),
            BodyFraming::Chunks => {
                let size = format!("{:x}\r\n", piece.len());
                [size.as_bytes(), piece, b"\r\n"].concat()
            }
            BodyFraming::Length | BodyFraming::Close => piece.to_vec(),
        }
    }

    fn end(&self) -> &'static str {
        match (self.framing, self.has_trailer) {
            (BodyFraming::Chunks, true) => "0\r\nx-note: end\r\n\r\n",
            (BodyFraming::Chunks, false) => "0\r\n\r\n",
            (BodyFraming::Length | BodyFraming::Close, _) => "",
        }
    }

    async fn write(self, mut stream: TcpStream) {
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            stream.read_buf(&mut request).await.unwrap();
        }
        let framed = self.pieces.iter().map(|piece| self.framed(piece));
        let parts = [self.head().into_bytes()].into_iter().chain(framed);
        for part in parts.chain([self.end().as_bytes().to_vec()]) {
            // The reader may have given the answer up.
            if stream.write_all(&part).await.is_err() {
                return;
            }
        }
    }
}

/// Reads an answer through a connection to an endpoint; also returns how many bytes were counted.
async fn read_answer(answer: PiecedAnswer, memory: u64) -> (Result<Bytes, ReadFailure>, u64) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let target = EndpointTarget {
        id: EndpointId::from_name("life-1"),
        name: "life-1".to_owned(),
        address: listener.local_addr().unwrap(),
        version: SoftwareVersion::UNKNOWN,
        limits: ConnectionLimits::new(100, 8, 2),
    };
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        answer.write(stream).await;
    });
    let (_caller, accepted) = pair().await;
    let condition = SendCondition::new(&accepted.disconnect_monitor(), || true);
    let pools = Arc::<EndpointPools>::default();
    let request = Request::new(Full::new(Bytes::new()));
    let (response, _connection) = send(&pools, &target, request, &condition).await.unwrap();
    let mut body = response.into_body();
    let mut counted = 0;
    let read = read_counted(&mut body, LIMIT, 0, |bytes| {
        let fits = counted + bytes <= memory;
        counted += if fits { bytes } else { 0 };
        fits
    });
    let read = read.await;
    (read, counted)
}

fn any_answer() -> impl Strategy<Value = PiecedAnswer> {
    let framing = prop_oneof![
        Just(BodyFraming::Length),
        Just(BodyFraming::Chunks),
        Just(BodyFraming::Close)
    ];
    let piece = proptest::collection::vec(any::<u8>(), 0..20_000);
    (
        framing,
        proptest::collection::vec(piece, 0..8),
        any::<bool>(),
    )
        .prop_map(|(framing, pieces, has_trailer)| PiecedAnswer {
            framing,
            pieces,
            has_trailer,
        })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// Guards against an answer that is cut or grows beyond its bounds, in any framing: it is read
    /// whole, or given up for the bound that it exceeds.
    #[test]
    fn answers_are_read_whole_or_given_up(answer in any_answer(), memory in 0_u64..(2 * LIMIT as u64)) {
        let body = answer.body();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let (read, counted) = runtime.block_on(read_answer(answer, memory));
        prop_assert!(counted <= memory);
        match read {
            Ok(bytes) => {
                prop_assert_eq!(&bytes[..], &body[..]);
                prop_assert!(bytes.len() <= LIMIT && bytes.len() as u64 <= memory);
            }
            Err(ReadFailure::TooLarge) => prop_assert!(body.len() > LIMIT),
            // The buffer may double.
            Err(ReadFailure::OutOfMemory) => prop_assert!(2 * body.len() as u64 > memory),
            Err(ReadFailure::Broken(error)) => prop_assert!(false, "{error}"),
        }
    }
}
