package standins;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The network between two controllers, for the connections that the first opens to the second.
 * While it is interrupted, what is sent on connections that exist is held, and delivered in order
 * afterwards, also if its sender has closed the connection; further connections are refused.
 */
final class Link implements Closeable {
    private final String target;
    private final int port;
    private final Record record;
    private ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private boolean interrupted;

    /** The interruption begins when a request with this text is on its way. */
    private volatile String trigger;

    Link(String target, Record record) throws IOException {
        this.target = target;
        this.record = record;
        listen(0);
        port = server.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    private void listen(int at) throws IOException {
        ServerSocket s = new ServerSocket();
        s.setReuseAddress(true);
        s.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), at), 64);
        server = s;
        start(() -> accept(s));
    }

    private static void start(Runnable run) {
        Thread t = new Thread(run);
        t.setDaemon(true);
        t.start();
    }

    private void accept(ServerSocket s) {
        while (!s.isClosed()) {
            try {
                Socket from = s.accept();
                Socket to = new Socket();
                String[] parts = target.split(":");
                try {
                    to.connect(
                        new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
                } catch (IOException e) {
                    from.close();
                    continue;
                }
                from.setTcpNoDelay(true);
                to.setTcpNoDelay(true);
                sockets.add(from);
                sockets.add(to);
                start(() -> copy(from, to, true));
                start(() -> copy(to, from, false));
            } catch (IOException e) {
                // closed
            }
        }
    }

    private void copy(Socket from, Socket to, boolean requests) {
        byte[] buffer = new byte[65536];
        try {
            InputStream in = from.getInputStream();
            while (true) {
                int n = in.read(buffer);
                String text = trigger;
                if (requests && n > 0 && text != null
                    && new String(buffer, 0, n, StandardCharsets.ISO_8859_1).contains(text)) {
                    trigger = null;
                    interrupt();
                }
                synchronized (this) {
                    while (interrupted) wait();
                }
                if (n < 0) break;
                try {
                    to.getOutputStream().write(buffer, 0, n);
                } catch (IOException e) {
                    if (requests) throw e;
                }
            }
            // What was sent before the close arrives; the other side then sees the close.
            to.shutdownOutput();
        } catch (IOException | InterruptedException e) {
            try {
                to.close();
            } catch (IOException ignored) {
                // closed
            }
        }
    }

    void interruptAt(String text) {
        trigger = text;
    }

    private synchronized void interrupt() throws IOException {
        interrupted = true;
        server.close();
        record.log("the network to %s is interrupted", target);
    }

    synchronized boolean isInterrupted() {
        return interrupted;
    }

    synchronized void restore() throws IOException {
        interrupted = false;
        listen(port);
        notifyAll();
        record.log("the network to %s is back", target);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket s : sockets) s.close();
    }
}
