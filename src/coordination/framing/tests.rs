use crate::coordination::framing::*;
use crate::coordination::messages::{Who, MOST};

fn hello() -> Hello {
    Hello {
        version: VERSION,
        site: "north".into(),
        who: Who::Keeper(2),
    }
}

#[test]
fn torn_long_and_senseless_frames_are_told_apart() {
    let whole = bytes(&hello(), MOST).expect("short");
    assert_eq!(
        read_blocking::<Hello>(&mut &whole[..], MOST).expect("whole"),
        hello()
    );
    let mut slow = &whole[..];
    let read: Hello = async_io::block_on(read(&mut slow, MOST)).expect("whole");
    assert_eq!(read, hello());
    for torn in 1..whole.len() {
        let told = read_blocking::<Hello>(&mut &whole[..torn], MOST);
        assert!(matches!(told, Err(Broken::Io(_))), "{torn}: {told:?}");
    }
    assert!(matches!(
        read_blocking::<Hello>(&mut &[][..], MOST),
        Err(Broken::Ended)
    ));
    let long = [&0xFFFF_FFFFu32.to_be_bytes()[..], &whole].concat();
    assert!(matches!(
        read_blocking::<Hello>(&mut &long[..], MOST),
        Err(Broken::TooLong(0xFFFF_FFFF, _))
    ));
    let (mut more, len) = (whole.clone(), whole.len());
    more[3] += 1;
    more.push(0);
    assert!(
        matches!(
            read_blocking::<Hello>(&mut &more[..], MOST),
            Err(Broken::Senseless(_))
        ),
        "{len}"
    );
    assert!(matches!(
        bytes(&vec![0u8; MOST], MOST),
        Err(Broken::TooLong(..))
    ));
}

#[test]
fn another_form_or_site_is_shut_out() {
    assert!(hello().admit("north").is_ok());
    assert!(matches!(hello().admit("south"), Err(Broken::Site(_))));
    let other = Hello {
        version: VERSION + 1,
        ..hello()
    };
    assert!(matches!(other.admit("north"), Err(Broken::Version(_))));
}
