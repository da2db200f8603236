//! Splits Rust source into the tokens from which names are collected. Comments are dropped.

/// A token of Rust source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Token {
    /// A name or keyword.
    Identifier(String),
    /// The value of a string literal; for a byte string, its bytes as characters.
    Text(String),
    /// One character of punctuation.
    Punctuation(char),
    /// A number, character literal or lifetime. Its value is dropped, since it contains no name.
    Other,
}

impl Token {
    /// Returns whether the token is this punctuation character.
    pub(crate) fn is(&self, character: char) -> bool {
        *self == Token::Punctuation(character)
    }

    /// Returns whether the token is this name or keyword.
    pub(crate) fn is_word(&self, word: &str) -> bool {
        matches!(self, Token::Identifier(name) if name == word)
    }
}

/// Returns the tokens of one source file.
pub(crate) fn tokens(source: &str) -> Vec<Token> {
    let characters: Vec<char> = source.chars().collect();
    let mut scanner = Scanner { characters: &characters, position: 0 };
    let mut tokens = Vec::new();
    while scanner.position < characters.len() {
        tokens.extend(scanner.next_token());
    }
    tokens
}

struct Scanner<'a> {
    characters: &'a [char],
    position: usize,
}

impl Scanner<'_> {
    fn peek(&self, ahead: usize) -> Option<char> {
        self.characters.get(self.position + ahead).copied()
    }

    fn next_token(&mut self) -> Option<Token> {
        let character = self.peek(0)?;
        match (character, self.peek(1)) {
            ('/', Some('/')) => self.skip_line(),
            ('/', Some('*')) => self.skip_block_comment(),
            ('"', _) => return Some(self.string_literal()),
            ('\'', _) => return Some(self.character_or_lifetime()),
            _ if character.is_whitespace() => self.position += 1,
            _ if character.is_ascii_digit() => return Some(self.number()),
            _ if character.is_alphanumeric() || character == '_' => return Some(self.word_or_string()),
            _ => {
                self.position += 1;
                return Some(Token::Punctuation(character));
            }
        }
        None
    }

    fn skip_line(&mut self) {
        while self.peek(0).is_some_and(|character| character != '\n') {
            self.position += 1;
        }
    }

    fn skip_block_comment(&mut self) {
        self.position += 2;
        while self.peek(0).is_some() && (self.peek(0), self.peek(1)) != (Some('*'), Some('/')) {
            self.position += 1;
        }
        self.position += 2;
    }

    /// Scans a name, or a string literal with a prefix such as `r#"` or `b"`.
    fn word_or_string(&mut self) -> Token {
        let start = self.position;
        while self.peek(0).is_some_and(|character| character.is_alphanumeric() || character == '_') {
            self.position += 1;
        }
        let word: String = self.characters[start..self.position].iter().collect();
        match (word.as_str(), self.peek(0)) {
            ("b" | "c", Some('"')) => self.string_literal(),
            ("r" | "br" | "cr", Some('"' | '#')) => self.raw_string_literal(),
            _ => Token::Identifier(word),
        }
    }

    fn number(&mut self) -> Token {
        let is_part = |character: char| character.is_alphanumeric() || character == '_';
        while self.peek(0).is_some_and(is_part) {
            self.position += 1;
        }
        Token::Other
    }

    fn raw_string_literal(&mut self) -> Token {
        let mut hashes = 0;
        while self.peek(0) == Some('#') {
            hashes += 1;
            self.position += 1;
        }
        if self.peek(0) != Some('"') {
            return self.word_or_string();
        }
        self.position += 1;
        let end: Vec<char> = std::iter::once('"').chain(std::iter::repeat_n('#', hashes)).collect();
        let start = self.position;
        while self.position < self.characters.len() && !self.characters[self.position..].starts_with(&end) {
            self.position += 1;
        }
        let value = self.characters[start..self.position].iter().collect();
        self.position += end.len();
        Token::Text(value)
    }

    fn string_literal(&mut self) -> Token {
        self.position += 1;
        let mut value = String::new();
        while let Some(character) = self.peek(0) {
            self.position += 1;
            match character {
                '"' => break,
                '\\' => self.escape(&mut value),
                _ => value.push(character),
            }
        }
        Token::Text(value)
    }

    fn escape(&mut self, value: &mut String) {
        let escaped = self.peek(0);
        self.position += 1;
        match escaped {
            Some('n') => value.push('\n'),
            Some('r') => value.push('\r'),
            Some('t') => value.push('\t'),
            Some('\n') => {
                while self.peek(0).is_some_and(char::is_whitespace) {
                    self.position += 1;
                }
            }
            Some(other) => value.push(other),
            None => {}
        }
    }

    fn character_or_lifetime(&mut self) -> Token {
        let is_character = self.peek(1) == Some('\\') || self.peek(2) == Some('\'');
        self.position += 2;
        if is_character {
            // An escaped quote must not end the literal.
            self.position += usize::from(self.peek(0) == Some('\'') && self.peek(1) == Some('\''));
            while self.peek(0).is_some_and(|character| character != '\'') {
                self.position += 1;
            }
            self.position += 1;
        } else {
            while self.peek(0).is_some_and(|character| character.is_alphanumeric() || character == '_') {
                self.position += 1;
            }
        }
        Token::Other
    }
}
