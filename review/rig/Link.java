import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The network from one host to another: a TCP proxy on loopback. While it is interrupted it holds
 * all that is sent, and then delivers it in order, also if the sender has closed its connection.
 */
final class Link {
    private final int target;
    private final ServerSocket server;
    private boolean held;

    Link(int target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 64, InetAddress.getByName(Web.HOST));
        Web.run(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    synchronized void hold(boolean hold) {
        held = hold;
        notifyAll();
    }

    private synchronized void pass() throws InterruptedException {
        while (held) wait();
    }

    private void accept() {
        while (true) {
            try {
                Socket from = server.accept();
                Web.run(() -> connect(from));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket from) {
        try {
            Socket to = new Socket(Web.HOST, target);
            Web.run(() -> copy(to, from));
            copy(from, to);
        } catch (IOException e) {
            close(from);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                pass();
                if (count < 0) break;
                out.write(buffer, 0, count);
                out.flush();
            }
            to.shutdownOutput();
        } catch (IOException e) {
            close(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
