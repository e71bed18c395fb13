//! Boundaries of the objects in a stream of list updates, however the stream is split.

use raildeal::net::platform::list::{Objects, Said, Spoilt};

/// Returns all that is parsed from the pieces, or the error.
fn parse(pieces: &[&[u8]]) -> Result<Vec<Said>, Spoilt> {
    let (mut objects, mut text, mut all) = (Objects::default(), Vec::new(), Vec::new());
    for piece in pieces {
        text.extend_from_slice(piece);
        while let Some(parsed) = objects.next(&mut text)? {
            all.push(parsed);
        }
        assert!(text.is_empty(), "each byte is consumed once");
    }
    Ok(all)
}

fn object(text: &str) -> Said {
    Said::Object(text.as_bytes().to_vec())
}

#[test]
fn objects_are_found_wherever_the_text_is_split() {
    let first = "{\r\n  \"rev\": 1,\n\n  \"targets\": [\n    {\"uid\": \"}]\\\"{\\\\\"}\n  ]\n}";
    let second = "{\"rev\":2,\"targets\":[]}";
    let text = format!("\n{first}\r\n \n{second}{second}\n\r\n");
    let whole = vec![
        Said::NoChange,
        object(first),
        Said::NoChange,
        object(second),
        object(second),
        Said::NoChange,
    ];
    let bytes = text.as_bytes();
    for one in 0..=bytes.len() {
        for two in one..=bytes.len() {
            let pieces = [&bytes[..one], &bytes[one..two], &bytes[two..]];
            assert_eq!(parse(&pieces), Ok(whole.clone()), "{one} {two}");
        }
    }
}

#[test]
fn text_that_is_not_an_object_or_has_no_end_is_an_error() {
    for text in ["[]", "7", "\"{\"", "{}x", "}", "\0", "\u{feff}{}"] {
        assert_eq!(parse(&[text.as_bytes()]), Err(Spoilt::NoObject), "{text:?}");
    }
    let piece = vec![b' '; 1 << 20];
    let endless: Vec<&[u8]> = [b"{".as_slice()]
        .into_iter()
        .chain([piece.as_slice(); 5])
        .collect();
    assert_eq!(parse(&endless), Err(Spoilt::Endless));
    assert_eq!(
        parse(&[piece.as_slice(); 8]),
        Ok(vec![]),
        "white space is not buffered"
    );
}
