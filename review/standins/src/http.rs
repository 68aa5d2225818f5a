//! Blocking HTTP/1.1 messages over TCP, as far as the stand-ins need them.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request, or an answer with its status line in place of the request line.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header, named in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first.get(1).and_then(|status| status.parse().ok());
        status.unwrap_or(0)
    }
}

fn invalid(problem: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, problem.to_owned())
}

/// Reads messages from a connection and keeps the bytes that follow them.
pub struct MessageReader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl MessageReader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(invalid("the connection ended in a line")),
                };
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(invalid("the connection ended in a body"));
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the head of the next message; returns `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            first: first.split(' ').map(str::to_owned).collect(),
            ..Message::default()
        };
        loop {
            let line = self.line()?.ok_or_else(|| invalid("ended in a head"))?;
            let Some((name, value)) = line.split_once(':') else {
                return match line.is_empty() {
                    true => Ok(Some(message)),
                    false => Err(invalid("a header without a colon")),
                };
            };
            let header = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }

    /// Reads the body that the head announces.
    pub fn body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.header("transfer-encoding").is_some() {
            while let Some(chunk) = self.chunk()? {
                message.body.extend(chunk);
            }
            return Ok(());
        }
        let length = message.header("content-length").unwrap_or("0");
        let length = length.parse().map_err(|_| invalid("a bad length"))?;
        message.body = self.exactly(length)?;
        Ok(())
    }

    /// Reads the next chunk of a chunked body; returns `None` at its end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.line()?.ok_or_else(|| invalid("ended in a chunk"))?;
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| invalid("a bad chunk"))?;
        let chunk = self.exactly(size)?;
        self.line()?;
        Ok((size > 0).then_some(chunk))
    }

    /// Reads a whole message; returns `None` at the end of the connection.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        self.body(&mut message)?;
        Ok(Some(message))
    }
}

/// Connects to an address with a limit on every read and write.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let started = Instant::now();
    let mut stream = connect(address, timeout)?;
    stream.write_all(request)?;
    let answer = MessageReader::new(stream).message()?;
    match answer {
        Some(answer) if started.elapsed() <= timeout => Ok(answer),
        Some(_) => Err(io::Error::new(ErrorKind::TimedOut, "answered too late")),
        None => Err(invalid("closed without an answer")),
    }
}
