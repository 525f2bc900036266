//! Writing and reading of bits, most significant first.

/// Longest run of ones that is read; longer ones are malformed.
const MAX_RUN: u32 = 1 << 10;

/// Writes bits.
#[derive(Debug)]
pub struct BitWriter {
    bytes: Vec<u8>,
    /// Bits of the last byte that are free.
    free: u32,
}

impl BitWriter {
    /// An empty writer with space for some bytes.
    pub fn new(capacity_bytes: usize) -> Self {
        Self { bytes: Vec::with_capacity(capacity_bytes), free: 0 }
    }

    /// Writes the low `count` bits of a value.
    pub fn write(&mut self, value: u32, count: u32) {
        for index in (0..count).rev() {
            if self.free == 0 {
                self.bytes.push(0);
                self.free = u8::BITS;
            }
            self.free -= 1;
            if let Some(last) = self.bytes.last_mut() {
                *last |= ((value >> index & 1) as u8) << self.free;
            }
        }
    }

    /// Writes a value in Rice code: the part above `parameter` bits in unary, then the bits.
    pub fn write_rice(&mut self, value: u32, parameter: u32) {
        for _ in 0..value >> parameter {
            self.write(1, 1);
        }
        self.write(0, 1);
        self.write(value, parameter);
    }

    /// The bytes; the last one is filled with zeros.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }
}

/// Reads bits.
#[derive(Debug)]
pub struct BitReader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> BitReader<'a> {
    /// A reader at the first bit.
    pub const fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, position: 0 }
    }

    /// The next `count` bits, 31 at most; `None` at the end.
    pub fn read(&mut self, count: u32) -> Option<u32> {
        let mut value = 0;
        for _ in 0..count {
            let byte = self.bytes.get(self.position / 8)?;
            value = value << 1 | u32::from(byte >> (7 - self.position % 8) & 1);
            self.position += 1;
        }
        Some(value)
    }

    /// The next value in Rice code; `None` at the end.
    pub fn read_rice(&mut self, parameter: u32) -> Option<u32> {
        let mut run = 0;
        while self.read(1)? == 1 {
            run += 1;
            if run > MAX_RUN {
                return None;
            }
        }
        let bits = self.read(parameter)?;
        run.checked_shl(parameter)?.checked_add(bits)
    }
}
