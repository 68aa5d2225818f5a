use super::*;

#[tokio::test]
async fn accepted_streams_inherit_the_options_of_the_listener() {
    let listener = listen("test", "127.0.0.1:0".parse().unwrap()).unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap());
    let caller = caller.await.unwrap();
    assert!(!has_stream_options(&caller));
    set_stream_options(&caller).unwrap();
    assert!(has_stream_options(&caller));
    let (accepted, _) = listener.accept().await.unwrap();
    // On other systems the options are set on each accepted connection.
    assert_eq!(has_stream_options(&accepted), cfg!(target_os = "linux"));
}
