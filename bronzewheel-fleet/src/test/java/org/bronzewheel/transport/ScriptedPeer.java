package org.bronzewheel.transport;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.bronzewheel.wire.PeerFrame;

/** A peer on a plain socket that responds to each frame by a script. */
final class ScriptedPeer implements AutoCloseable {
    /** What the peer does with a frame. */
    @FunctionalInterface
    interface Script {
        void respond(PeerFrame frame, Socket socket) throws IOException;
    }

    private final ServerSocket server;
    private final Script script;
    private final AtomicInteger connections = new AtomicInteger();

    ScriptedPeer(Script script) throws IOException {
        this.script = script;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    int connections() {
        return connections.get();
    }

    static PeerFrame reply(PeerFrame call, String payload) {
        return call.toBuilder().setReply(true).setPayload(ByteString.copyFromUtf8(payload)).build();
    }

    static void write(Socket socket, PeerFrame frame) throws IOException {
        OutputStream out = socket.getOutputStream();
        frame.writeDelimitedTo(out);
        out.flush();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            connections.incrementAndGet();
            daemon(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        PeerFrame frame = PeerFrame.parseDelimitedFrom(socket.getInputStream());
        while (frame != null) {
            script.respond(frame, socket);
            frame = PeerFrame.parseDelimitedFrom(socket.getInputStream());
        }
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void daemon(Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (IOException e) {
                                // The socket was closed: the end of the script.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
