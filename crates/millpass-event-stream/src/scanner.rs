//! Finds the ends of events, and their ids.

/// Maximum length of a line that is kept to read an id from it. An event with a longer id counts as
/// one without.
const MAXIMUM_ID_LINE_BYTES: usize = 1_024;
const ID_FIELD: &[u8] = b"id";

/// Follows a byte stream from event to event.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    /// Length of the unfinished line.
    line_length: usize,
    /// Whether the unfinished line is a comment.
    is_comment: bool,
    /// The unfinished line, as long as it may be an id field.
    id_line: Vec<u8>,
    /// Whether a line of an unfinished event is complete.
    has_field: bool,
    /// Whether the last byte was a CR: an LF that follows belongs to the same line end.
    after_cr: bool,
    /// Id of the unfinished event.
    pending_id: Option<String>,
    last_id: Option<String>,
}

impl EventScanner {
    /// Reads the next bytes of the stream. Returns the position in them after which no event is
    /// unfinished, if there is one.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (position, byte) in bytes.iter().enumerate() {
            let ends_pair = std::mem::replace(&mut self.after_cr, *byte == b'\r') && *byte == b'\n';
            match byte {
                b'\n' if ends_pair => {}
                b'\r' | b'\n' => self.end_line(),
                _ => {
                    self.extend_line(*byte);
                    continue;
                }
            }
            if !self.is_inside_event() {
                end = Some(position + 1);
            }
        }
        end
    }

    /// Returns whether the bytes so far end within a line, or within an event.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line_length > 0
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Forgets an unfinished event: the next bytes are the start of another stream that continues
    /// this one.
    pub fn restart(&mut self) {
        *self = EventScanner {
            last_id: self.last_id.take(),
            ..EventScanner::default()
        };
    }

    fn extend_line(&mut self, byte: u8) {
        if self.line_length == 0 {
            self.is_comment = byte == b':';
        }
        self.line_length += 1;
        let is_kept = self.id_line.len() + 1 == self.line_length;
        let may_be_id = |position: usize| ID_FIELD.get(position).is_none_or(|it| *it == byte);
        if is_kept && may_be_id(self.id_line.len()) && self.line_length <= MAXIMUM_ID_LINE_BYTES {
            self.id_line.push(byte);
        }
    }

    fn end_line(&mut self) {
        let length = std::mem::take(&mut self.line_length);
        let line = std::mem::take(&mut self.id_line);
        if length == 0 {
            self.end_event();
            return;
        }
        if self.is_comment {
            return;
        }
        self.has_field = true;
        if line.len() == length
            && let Some(id) = id_value(&line)
        {
            self.pending_id = Some(id);
        }
    }

    fn end_event(&mut self) {
        self.has_field = false;
        if let Some(id) = self.pending_id.take() {
            self.last_id = Some(id);
        }
    }
}

/// Returns the value of an id field; none if the line is of another field.
fn id_value(line: &[u8]) -> Option<String> {
    let rest = line.strip_prefix(ID_FIELD)?.strip_prefix(b":")?;
    let text = std::str::from_utf8(rest).ok()?;
    Some(text.trim().to_owned())
}
