use super::*;

#[tokio::test]
async fn accepted_streams_inherit_the_options_of_the_listener() {
    let listener = listen("test", "127.0.0.1:0".parse().unwrap(), UNREAD_TIMEOUT).unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap());
    let caller = caller.await.unwrap();
    assert!(!has_stream_options(&caller, UNREAD_TIMEOUT));
    set_stream_options(&caller, UNREAD_TIMEOUT).unwrap();
    assert!(has_stream_options(&caller, UNREAD_TIMEOUT));
    let (accepted, _) = listener.accept().await.unwrap();
    // On other systems the options are set on each accepted connection.
    assert_eq!(
        has_stream_options(&accepted, UNREAD_TIMEOUT),
        cfg!(target_os = "linux")
    );
}
