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

/** A peer on a plain socket that responds to each frame with a script. */
final class ScriptedPeer implements AutoCloseable {
    /** Responds to one frame. */
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
        startDaemon(this::accept);
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
            startDaemon(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        PeerFrame frame = PeerFrame.parseDelimitedFrom(socket.getInputStream());
        while (frame != null) {
            script.respond(frame, socket);
            frame = PeerFrame.parseDelimitedFrom(socket.getInputStream());
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startDaemon(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // The socket was closed, which ends the script.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
