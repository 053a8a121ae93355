//! A minimal HTTP/1.1 client and server for loopback, on the standard library alone.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A response as a client saw it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    /// Header names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// The body ended as its framing says.
    pub complete: bool,
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Connects with a time limit.
pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    Ok(stream)
}

/// Writes a request head and body.
pub fn write_request(
    stream: &mut impl Write,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

/// Sends one request on a new connection and reads the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let mut stream = connect(address, limit)?;
    write_request(&mut stream, method, path, headers, body)?;
    read_response(&mut stream, limit)
}

/// Reads a response. A body that ends early is returned with `complete` unset.
pub fn read_response(stream: &mut TcpStream, limit: Duration) -> io::Result<Response> {
    let until = Instant::now() + limit;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = read_headers(&mut reader)?;
    let mut response = Response {
        status,
        headers,
        ..Response::default()
    };
    let body = if response.header("transfer-encoding").contains("chunked") {
        read_chunks(&mut reader, &mut response.body, until)
    } else if let Ok(length) = response.header("content-length").parse::<usize>() {
        read_length(&mut reader, &mut response.body, length, until)
    } else {
        reader.read_to_end(&mut response.body).map(|_| ())
    };
    response.complete = body.is_ok();
    Ok(response)
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_length(
    reader: &mut impl Read,
    body: &mut Vec<u8>,
    length: usize,
    until: Instant,
) -> io::Result<()> {
    let mut buffer = [0_u8; 64 * 1024];
    while body.len() < length {
        if Instant::now() > until {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let wanted = (length - body.len()).min(buffer.len());
        match reader.read(&mut buffer[..wanted])? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => body.extend_from_slice(&buffer[..count]),
        }
    }
    Ok(())
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>, until: Instant) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let end = body.len() + size;
        read_length(reader, body, end, until)?;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// A request as a server saw it.
#[derive(Clone, Debug)]
pub struct Request {
    pub path: String,
    /// Header names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a request; none at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split(' ');
    let path = words.nth(1).unwrap_or("").to_owned();
    let headers = read_headers(reader)?;
    let mut request = Request {
        path,
        headers,
        body: Vec::new(),
    };
    let until = Instant::now() + Duration::from_secs(30);
    if request.header("transfer-encoding").contains("chunked") {
        read_chunks(reader, &mut request.body, until)?;
    } else if let Ok(length) = request.header("content-length").parse::<usize>() {
        read_length(reader, &mut request.body, length, until)?;
    }
    Ok(Some(request))
}
