package standins;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server with one thread for each connection, and a client for one request. */
final class Web implements Closeable {
    interface Handler {
        /** Answers the request with {@link Request#reply} or {@link Request#drop}. */
        void handle(Request request) throws Exception;
    }

    static final class Request {
        final String method;
        final String path;
        final String body;
        private final Socket socket;
        boolean dropped;

        Request(String method, String path, String body, Socket socket) {
            this.method = method;
            this.path = path;
            this.body = body;
            this.socket = socket;
        }

        void reply(int status, String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            String head =
                "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                    + bytes.length + "\r\n\r\n";
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.getBytes(StandardCharsets.UTF_8));
            out.write(bytes);
            socket.getOutputStream().write(out.toByteArray());
            socket.getOutputStream().flush();
        }

        /** Closes the connection without a response. */
        void drop() {
            dropped = true;
        }
    }

    static final class Answer {
        /** The status; 0 if the request was sent without a response, -1 if it was not sent. */
        final int status;
        final String body;

        Answer(int status, String body) {
            this.status = status;
            this.body = body;
        }
    }

    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Web(Handler handler) throws IOException {
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Thread acceptor = new Thread(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    Thread t = new Thread(() -> serve(socket, handler));
                    t.setDaemon(true);
                    t.start();
                } catch (IOException e) {
                    // closed, or out of sockets for a moment
                }
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void serve(Socket socket, Handler handler) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String line = line(in);
                if (line == null || line.isEmpty()) return;
                String[] parts = line.split(" ");
                int length = 0;
                boolean close = false;
                for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
                    String lower = h.toLowerCase();
                    if (lower.startsWith("content-length:"))
                        length = Integer.parseInt(h.substring(15).trim());
                    if (lower.startsWith("connection:") && lower.contains("close")) close = true;
                }
                String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
                Request request = new Request(parts[0], parts[1], body, socket);
                handler.handle(request);
                if (request.dropped || close) return;
            }
        } catch (Exception e) {
            // the connection is closed
        } finally {
            sockets.remove(socket);
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) return out.length() == 0 ? null : out.toString();
            if (c != '\r') out.append((char) c);
        }
        return out.toString();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) socket.close();
    }

    /** Sends one request on a connection of its own. */
    static Answer call(String address, String method, String path, String body, int timeoutMs) {
        return call(address, method, path, body.getBytes(StandardCharsets.UTF_8), timeoutMs);
    }

    static Answer call(String address, String method, String path, byte[] bytes, int timeoutMs) {
        long end = System.nanoTime() + timeoutMs * 1_000_000L;
        boolean sent = false;
        try (Socket socket = new Socket()) {
            String[] parts = address.split(":");
            socket.connect(
                new InetSocketAddress(InetAddress.getByName(parts[0]), Integer.parseInt(parts[1])),
                Math.min(timeoutMs, 1000));
            socket.setTcpNoDelay(true);
            String head =
                method + " " + path + " HTTP/1.1\r\nHost: " + address
                    + "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
                    + bytes.length + "\r\n\r\n";
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.getBytes(StandardCharsets.UTF_8));
            out.write(bytes);
            sent = true;
            socket.getOutputStream().write(out.toByteArray());
            socket.getOutputStream().flush();
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            byte[] buffer = new byte[8192];
            while (true) {
                int left = (int) ((end - System.nanoTime()) / 1_000_000L);
                if (left <= 0) throw new SocketTimeoutException();
                socket.setSoTimeout(left);
                int n = socket.getInputStream().read(buffer);
                if (n < 0) break;
                all.write(buffer, 0, n);
            }
            String text = all.toString(StandardCharsets.UTF_8);
            int split = text.indexOf("\r\n\r\n");
            if (split < 0) return new Answer(0, "");
            return new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(split + 4));
        } catch (IOException e) {
            return new Answer(sent ? 0 : -1, "");
        }
    }
}
