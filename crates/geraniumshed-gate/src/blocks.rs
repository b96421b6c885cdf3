//! Bodies that are received in blocks.

use hyper::body::Bytes;

/// The size of the blocks in which a body is received, in bytes.
const BLOCK_BYTES: usize = 16_384;

/// Bytes in blocks of one size. The memory of closed connections is used again at once, whatever their
/// bodies had reached, which isn't so with buffers that grow.
#[derive(Debug, Default)]
pub struct BodyBlocks {
    blocks: Vec<Vec<u8>>,
    length: usize,
}

impl BodyBlocks {
    /// Adds bytes.
    pub fn extend(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let room = self
                .blocks
                .last()
                .map_or(0, |block| BLOCK_BYTES - block.len());
            if room == 0 {
                self.blocks.push(Vec::with_capacity(BLOCK_BYTES));
                continue;
            }
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(now);
            }
            bytes = later;
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns all bytes in one piece.
    pub fn join(mut self) -> Bytes {
        match self.blocks.len() {
            0 | 1 => self.blocks.pop().unwrap_or_default().into(),
            _ => self.blocks.concat().into(),
        }
    }
}
